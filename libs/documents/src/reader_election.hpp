// Election of the nodes of a failure domain that read from the platform.
#pragma once

#include <cstdint>
#include <vector>

#include <trefoil/base/ids.hpp>
#include <trefoil/base/time.hpp>
#include <trefoil/membership/rendezvous.hpp>

namespace trefoil {

/// Number of nodes ranked after the readers that take over from them, one after the other.
inline constexpr std::size_t standbys_per_domain = 4;
/// Time after which readers are elected anew.
inline constexpr duration epoch_length = 60s;

/// Ranks the nodes of one failure domain by rendezvous hashing of domain, epoch and
/// node; the nodes with the lowest ranks are the readers. The epoch is a logical
/// clock, because the clocks of the nodes differ: a node increments it after epoch_length on its
/// own clock and adopts any higher epoch that it receives.
class reader_election {
public:
    reader_election(instance_id self, domain_name domain);

    void start(time_point now) { epoch_start_ = now; }
    /// Ranks the nodes again after a change of the failure domain's members.
    void members_changed(const std::vector<instance_id>& own_domain);
    /// Handles the epoch of another node; a higher one is adopted.
    void on_epoch(time_point now, std::uint64_t epoch);
    /// Starts the next epoch if the current one is over.
    void advance(time_point now);
    /// Time at which the current epoch ends.
    time_point next_wake() const { return epoch_start_ + epoch_length; }

    std::uint64_t epoch() const { return epoch_; }
    /// This node's rank in its domain, from 0.
    std::size_t rank() const { return rank_; }
    bool is_reader() const { return rank_ < readers_per_domain; }
    /// The lowest-ranked other nodes, as many as there are readers and standbys.
    const std::vector<instance_id>& leading_peers() const { return leading_peers_; }

private:
    void rank_nodes();

    instance_id self_;
    domain_name domain_;
    std::vector<instance_id> nodes_;
    std::uint64_t epoch_ = 1;
    time_point epoch_start_;
    std::size_t rank_ = 0;
    std::vector<instance_id> leading_peers_;
};

} // namespace trefoil
