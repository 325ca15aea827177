// One node's view of the fleet: the platform's list, corrected by announcements of instances.
#pragma once

#include <unordered_map>
#include <unordered_set>
#include <vector>

#include <trefoil/base/time.hpp>
#include <trefoil/membership/member_list.hpp>

namespace trefoil {

/// The listed instances, indexed by service and by id. Because the platform's list lags behind,
/// announcements of leaving instances are kept in addition to it: an instance counts as leaving if
/// the list or an announcement says so. A list that no longer contains an instance also removes its
/// announcement.
class membership {
public:
    /// Replaces the list by a newer one.
    void replace(std::vector<member> members);

    /// Records that an instance announced that it is leaving.
    void announce_leaving(const instance_id& instance);

    /// Removes an announcement; the state of the instance depends on the list alone again.
    void withdraw_announcement(const instance_id& instance);

    /// The members of a service, including leaving ones; empty for an unknown service.
    const std::vector<member>& of_service(const service_name& service) const;

    /// The list entry of an instance; null if it is not listed.
    const member* find(const instance_id& instance) const;

    /// True if the list or an announcement says that the instance is leaving.
    bool is_leaving(const instance_id& instance) const;

    /// All listed members, in the order of the list.
    const std::vector<member>& all() const { return members_; }

private:
    std::vector<member> members_;
    std::unordered_map<service_name, std::vector<member>> by_service_;
    /// Position of each instance in members_.
    std::unordered_map<instance_id, std::size_t> index_;
    std::unordered_set<instance_id> announced_leaving_;
};

} // namespace trefoil
