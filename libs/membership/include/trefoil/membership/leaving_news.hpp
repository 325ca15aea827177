// Announcements of instances that leave, for as long as they count.
#pragma once

#include <unordered_map>
#include <vector>

#include <trefoil/base/ids.hpp>
#include <trefoil/base/time.hpp>

namespace trefoil {

/// Remembers which run of which instance announced its leaving. An announcement ends by itself,
/// since the instance may be started again under its name before the list drops it; if it is still
/// leaving then, its refusal renews the announcement.
class leaving_news {
public:
    /// Takes an announcement in. True if it is new and worth passing on.
    bool hear(time_point now, const instance_id& instance, incarnation_id run);

    /// Drops announcements that have ended and returns their instances.
    std::vector<instance_id> expire(time_point now);

    std::size_t size() const { return announced_.size(); }

    /// How long an announcement counts.
    static constexpr duration lifetime = 30s;

private:
    struct announcement {
        incarnation_id run;
        time_point until;
    };

    std::unordered_map<instance_id, announcement> announced_;
};

} // namespace trefoil
