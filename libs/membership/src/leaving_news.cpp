#include <trefoil/membership/leaving_news.hpp>

namespace trefoil {

bool leaving_news::hear(time_point now, const instance_id& instance, incarnation_id run) {
    const auto [found, is_new] = announced_.try_emplace(instance, announcement{run, {}});
    const bool is_news = is_new || found->second.run != run;
    found->second = {run, now + lifetime};
    return is_news;
}

std::vector<instance_id> leaving_news::expire(time_point now) {
    std::vector<instance_id> ended;
    std::erase_if(announced_, [&](const auto& entry) {
        const bool is_over = now >= entry.second.until;
        if (is_over) {
            ended.push_back(entry.first);
        }
        return is_over;
    });
    return ended;
}

} // namespace trefoil
