// The nodes that a node exchanges documents with.
#pragma once

#include <cstdint>
#include <unordered_map>
#include <vector>

#include <trefoil/base/time.hpp>
#include <trefoil/membership/membership.hpp>

namespace trefoil {

/// Neighbours in the node's own failure domain.
inline constexpr std::size_t own_domain_neighbours = 4;
/// Neighbours in other failure domains.
inline constexpr std::size_t other_domain_neighbours = 1;

/// Chooses neighbours from hash rings over the live list: the successor on the ring of the own
/// domain, so that everybody is somebody's neighbour, more at points that depend on the node, and
/// one in another domain. A neighbour that leaves comparisons unanswered is suspected and replaced
/// by the next on the ring; any message of it, or time, ends the suspicion.
class neighbours {
public:
    neighbours(instance_id self, domain_name domain);

    /// Follows a newer list.
    void members_changed(const membership& members);
    /// A message of a node arrived.
    void heard_from(const instance_id& node);
    /// A comparison was sent to a node.
    void asked(time_point now, const instance_id& node);
    /// Ends suspicions that are old; true if the choice changed.
    bool advance(time_point now);

    const std::vector<instance_id>& chosen() const { return chosen_; }
    /// Live members of the own domain, this node among them if it is listed.
    const std::vector<instance_id>& own_domain() const { return own_; }
    /// All listed members.
    std::size_t fleet_size() const { return fleet_size_; }

private:
    struct silence {
        int unanswered = 0;
        time_point since;
    };

    void choose();
    void add_nearest(const std::vector<instance_id>& nodes, const std::vector<std::uint64_t>& ring,
                     std::uint64_t point);
    bool is_usable(const instance_id& node) const;

    instance_id self_;
    domain_name domain_;
    std::vector<instance_id> own_;
    std::vector<std::uint64_t> own_ring_;
    std::vector<instance_id> others_;
    std::vector<std::uint64_t> others_ring_;
    std::vector<instance_id> chosen_;
    std::unordered_map<instance_id, silence> silent_;
    std::size_t fleet_size_ = 0;
};

} // namespace trefoil
