#include <trefoil/membership/leaving_news.hpp>

namespace trefoil {

bool leaving_news::hear(time_point now, const instance_id& instance, incarnation_id run) {
    return until_.insert_or_assign({instance, run}, now + lifetime).second;
}

std::vector<instance_id> leaving_news::expire(time_point now) {
    std::vector<instance_id> ended;
    for (auto at = until_.begin(); at != until_.end();) {
        if (now < at->second) {
            ++at;
            continue;
        }
        const auto instance = at->first.first;
        at = until_.erase(at);
        if (!is_announced(instance)) {
            ended.push_back(instance);
        }
    }
    return ended;
}

bool leaving_news::is_announced(const instance_id& instance) const {
    const auto first = until_.lower_bound({instance, incarnation_id{0}});
    return first != until_.end() && first->first.first == instance;
}

} // namespace trefoil
