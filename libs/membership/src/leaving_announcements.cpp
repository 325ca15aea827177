#include <trefoil/membership/leaving_announcements.hpp>

namespace trefoil {

bool leaving_announcements::record(time_point now, const instance_id& instance,
                                   incarnation_id incarnation) {
    return expiry_.insert_or_assign({instance, incarnation}, now + lifetime).second;
}

std::vector<instance_id> leaving_announcements::expire(time_point now) {
    std::vector<instance_id> expired;
    for (auto at = expiry_.begin(); at != expiry_.end();) {
        if (now < at->second) {
            ++at;
            continue;
        }
        const auto instance = at->first.first;
        at = expiry_.erase(at);
        if (!is_announced(instance)) {
            expired.push_back(instance);
        }
    }
    return expired;
}

bool leaving_announcements::is_announced(const instance_id& instance) const {
    const auto first = expiry_.lower_bound({instance, incarnation_id{0}});
    return first != expiry_.end() && first->first.first == instance;
}

} // namespace trefoil
