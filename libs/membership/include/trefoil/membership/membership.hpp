// The fleet as one node knows it: the platform's list, corrected by what instances announce.
#pragma once

#include <unordered_map>
#include <unordered_set>
#include <vector>

#include <trefoil/base/time.hpp>
#include <trefoil/membership/member_list.hpp>

namespace trefoil {

/// Instances by service. The list lags; announcements of leaving instances are held beside it
/// until the list agrees or drops the instance.
class membership {
public:
    /// Takes a newer list in.
    void replace(std::vector<member> members);

    /// Notes that an instance announced its leaving.
    void announce_leaving(const instance_id& instance);

    /// Drops an announcement; the list alone counts again.
    void end_announcement(const instance_id& instance);

    /// The members of a service, leaving ones included; empty for an unknown service.
    const std::vector<member>& of_service(const service_name& service) const;

    /// The member of an instance; null if it is not listed.
    const member* find(const instance_id& instance) const;

    /// True if the list or an announcement says that the instance is leaving.
    bool is_leaving(const instance_id& instance) const;

    /// Every listed member in the list's order.
    const std::vector<member>& all() const { return members_; }

private:
    std::vector<member> members_;
    std::unordered_map<service_name, std::vector<member>> by_service_;
    std::unordered_map<instance_id, std::size_t> index_;
    std::unordered_set<instance_id> announced_leaving_;
};

} // namespace trefoil
