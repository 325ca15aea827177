// Announcements of leaving instances, with expiry and duplicate suppression.
#pragma once

#include <map>
#include <utility>
#include <vector>

#include <trefoil/base/ids.hpp>
#include <trefoil/base/time.hpp>

namespace trefoil {

/// Records which incarnations of which instances announced that they are leaving. An announcement
/// expires, because the instance may be started again under the same id before the list drops it;
/// if it is still leaving then, its refusal renews the announcement. Several incarnations of one
/// instance may be announced at the same time, and each counts as new only once. Otherwise the
/// announcements of two incarnations that cross in transit would be forwarded endlessly, each as
/// new after the other.
class leaving_announcements {
public:
    /// Records or renews an announcement. Returns true if it is new and has to be forwarded.
    bool record(time_point now, const instance_id& instance, incarnation_id incarnation);

    /// Removes expired announcements and returns the instances that have none left.
    std::vector<instance_id> expire(time_point now);

    /// Number of announced incarnations.
    std::size_t size() const { return expiry_.size(); }

    /// Time after which an announcement that is not renewed expires.
    static constexpr duration lifetime = 30s;

private:
    using announced_incarnation = std::pair<instance_id, incarnation_id>;

    bool is_announced(const instance_id& instance) const;

    /// When each announcement expires.
    std::map<announced_incarnation, time_point> expiry_;
};

} // namespace trefoil
