// Selection of the nodes with which a node exchanges documents.
#pragma once

#include <cstdint>
#include <unordered_map>
#include <vector>

#include <trefoil/base/time.hpp>
#include <trefoil/membership/membership.hpp>

namespace trefoil {

/// Number of neighbours in the node's own failure domain.
inline constexpr std::size_t own_domain_neighbours = 4;
/// Number of neighbours in other failure domains.
inline constexpr std::size_t other_domain_neighbours = 1;

/// Selects neighbours from hash rings of the live members, one ring for the node's own failure
/// domain and one for all other domains. The first neighbour is the node's successor on the ring of
/// its own domain, so that every node is the neighbour of some other node. Further ones follow
/// points on the rings that are derived from the node's hash; one of them is in another domain. A
/// neighbour that does not answer several comparisons is suspected and replaced by the next member
/// on the ring. The suspicion ends with any message from that node, or after a fixed time.
class neighbours {
public:
    neighbours(instance_id self, domain_name domain);

    /// Rebuilds the rings from a newer instance list.
    void members_changed(const membership& members);
    /// Records that a message from a node arrived; ends a suspicion of that node.
    void on_message_from(const instance_id& node);
    /// Records that a comparison was sent to a node.
    void on_comparison_sent(time_point now, const instance_id& node);
    /// Ends suspicions whose time has elapsed. Returns true if the neighbours were selected again.
    bool advance(time_point now);

    /// The selected neighbours.
    const std::vector<instance_id>& chosen() const { return chosen_; }
    /// Live members of this node's failure domain, including the node itself if it is listed.
    const std::vector<instance_id>& own_domain() const { return own_; }
    /// Number of listed members.
    std::size_t fleet_size() const { return fleet_size_; }

private:
    /// Comparisons that were sent to a node and not yet answered.
    struct pending_comparisons {
        int unanswered = 0;
        time_point last_sent;
    };

    void choose();
    /// Adds the first usable node at or after a point on the ring.
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
    std::unordered_map<instance_id, pending_comparisons> pending_;
    std::size_t fleet_size_ = 0;
};

} // namespace trefoil
