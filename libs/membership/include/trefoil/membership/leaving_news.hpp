// Announcements of instances that leave, for as long as they count.
#pragma once

#include <map>
#include <utility>
#include <vector>

#include <trefoil/base/ids.hpp>
#include <trefoil/base/time.hpp>

namespace trefoil {

/// Remembers which runs of which instances announced their leaving. An announcement ends by itself,
/// since the instance may be started again under its name before the list drops it; if it is still
/// leaving then, its refusal renews the announcement. Several runs of one instance may be announced
/// at once, and each is news only once, so that two announcements that cross are not passed on for
/// ever, each as news after the other.
class leaving_news {
public:
    /// Takes an announcement in. True if it is new and worth passing on.
    bool hear(time_point now, const instance_id& instance, incarnation_id run);

    /// Drops announcements that have ended and returns the instances that have none left.
    std::vector<instance_id> expire(time_point now);

    /// Announced runs.
    std::size_t size() const { return until_.size(); }

    /// How long an announcement counts.
    static constexpr duration lifetime = 30s;

private:
    using announced_run = std::pair<instance_id, incarnation_id>;

    bool is_announced(const instance_id& instance) const;

    /// When each announcement ends.
    std::map<announced_run, time_point> until_;
};

} // namespace trefoil
