// Who reads the platform in a failure domain.
#pragma once

#include <cstdint>
#include <vector>

#include <trefoil/base/ids.hpp>
#include <trefoil/base/time.hpp>

namespace trefoil {

/// Nodes of a failure domain that read the platform at once.
inline constexpr std::size_t readers_per_domain = 2;
/// Nodes behind the readers that take over in turn.
inline constexpr std::size_t standbys_per_domain = 4;
/// Time after which the duty moves on.
inline constexpr duration epoch_length = 60s;

/// Ranks the nodes of one domain by rendezvous hashing (Thaler and Ravishankar 1998) of domain,
/// epoch and node; the lowest ranks read. The epoch is a logical clock, since clocks differ: a node
/// raises it when its own time is up and takes over any higher one that it hears of.
class reader_duty {
public:
    reader_duty(instance_id self, domain_name domain);

    void start(time_point now) { epoch_began_ = now; }
    void members_changed(const std::vector<instance_id>& own_domain);
    /// A node told its epoch.
    void heard_epoch(time_point now, std::uint64_t epoch);
    void advance(time_point now);
    time_point next_wake() const { return epoch_began_ + epoch_length; }

    std::uint64_t epoch() const { return epoch_; }
    /// This node's rank in its domain, from 0.
    std::size_t rank() const { return rank_; }
    bool is_reader() const { return rank_ < readers_per_domain; }
    /// The other nodes among the readers and standbys.
    const std::vector<instance_id>& leading() const { return leading_; }

private:
    void rank_all();
    std::uint64_t score(const instance_id& node) const;

    instance_id self_;
    domain_name domain_;
    std::vector<instance_id> nodes_;
    std::uint64_t epoch_ = 1;
    time_point epoch_began_;
    std::size_t rank_ = 0;
    std::vector<instance_id> leading_;
};

} // namespace trefoil
