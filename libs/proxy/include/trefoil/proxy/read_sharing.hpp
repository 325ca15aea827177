// Decides which nodes read the registry and which ones poll another node for what it publishes.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <trefoil/base/ids.hpp>
#include <trefoil/base/random.hpp>
#include <trefoil/base/time.hpp>
#include <trefoil/proxy/registry_follower.hpp>

namespace trefoil {

/// Durations of shared reading.
struct sharing_timing {
    /// A node that has had no confirmation for this long polls another reader.
    duration switch_reader_after{0};
    /// A node that has had no confirmation for this long reads the registry itself.
    duration read_after{0};
    /// A node that has had no confirmation for this long treats the registry as unavailable.
    duration registry_lost_after{0};
    /// Least time that a polled node gets to answer.
    duration poll_timeout{0};
    /// Time for which a reader that has failed is not polled.
    duration suspicion{0};
    /// A node that has been polled within this time reads for others.
    duration poll_memory{0};

    friend bool operator==(const sharing_timing&, const sharing_timing&) = default;
};

/// Derives the durations from the bounds. They are fractions of the shorter one of the bounds for
/// leaving instances and configurations, since these bind a node also while its reader fails.
sharing_timing sharing_timing_for(const registry_bounds& bounds);

/// A node that may be polled. Nodes are identified by their IP.
struct sharing_node {
    std::string ip;
    domain_name domain;

    friend bool operator==(const sharing_node&, const sharing_node&) = default;
};

/// Reading policy of one node. Two nodes of each failure domain, chosen by rendezvous hashing, read
/// the registry; the others poll one of the two. Nothing is agreed on: a node that is polled reads,
/// so that different views of the fleet cost only calls. Each answer says how old the information
/// is, and a node acts on the time since its last confirmation: first it polls the next reader,
/// then it reads the registry itself. Domains with few nodes don't share.
///
/// Times are those of a clock that also counts while the machine is suspended.
class read_sharing {
public:
    /// Domains with fewer nodes don't share, since readers ask more often than nodes that read
    /// for themselves.
    static constexpr std::size_t min_domain_size = 8;
    /// Upper bound on the calls of all nodes together while the registry is unavailable, in calls
    /// per second. Readers are not included.
    static constexpr double max_fallback_rate = 50.0;

    /// The node has had no confirmation at `now`.
    read_sharing(sharing_node self, std::uint64_t seed, time_point now);

    void set_bounds(const registry_bounds& bounds) { timing_ = sharing_timing_for(bounds); }
    const sharing_timing& timing() const { return timing_; }

    /// Sets all nodes of the fleet. An IP may occur more than once, and this node may be missing.
    void set_nodes(const std::vector<sharing_node>& nodes);

    /// False if each node of this domain reads for itself.
    bool is_sharing() const { return domain_size_ >= min_domain_size; }

    /// Starts to poll at `now`: the time without a confirmation counts from here.
    void start(time_point now) { confirmed_at_ = now; }

    /// Records that another node has polled this one.
    void record_poll(time_point now) { last_poll_ = now; }
    /// Records that the known state was current at `then`.
    void record_confirmation(time_point then);
    /// Records that a polled node has not answered, or knows less than this one.
    void record_failed_poll(time_point now, const std::string& ip);
    /// Records that a polled node has said that the registry is unavailable to it.
    void record_registry_lost(time_point now, const std::string& ip);
    /// Records that a read of this node has failed.
    void record_failed_read(time_point now);

    /// Time since the known state was last known to be current, or since the start if that is
    /// later.
    duration staleness(time_point now) const { return now - confirmed_at_; }
    /// Time since the known state was last known to be current, however long before the start; the
    /// maximum if nothing has been confirmed.
    duration copy_age(time_point now) const {
        return current_at_ ? now - *current_at_ : duration::max();
    }
    /// True if the registry has been unavailable to this node and to the nodes that it polls.
    bool is_registry_lost(time_point now) const {
        return staleness(now) >= timing_.registry_lost_after;
    }

    /// True if this node reads for others.
    bool is_reader(time_point now) const;
    /// True if this node has to read the registry now.
    bool must_read(time_point now) const;
    /// Time until must_read() can become true by the passage of time.
    duration time_to_read(time_point now) const;

    /// Returns the node to poll now, or nothing.
    std::optional<std::string> reader_to_poll(time_point now) const;
    /// Time after which a poll that is started now has failed.
    duration poll_timeout(time_point now) const;

private:
    /// Nodes of the own domain that are polled at most, in the order of their rank.
    static constexpr std::size_t max_own_candidates = 4;

    void rank_own_domain(const std::vector<std::string>& ips);
    void add_candidates(const domain_name& domain, const std::vector<std::string>& ips,
                        std::size_t count);
    /// Time that this node waits between own reads while the registry is unavailable.
    duration fallback_interval() const;
    bool is_suspected(time_point now, const std::string& ip) const;

    sharing_node self_;
    random_source random_;
    /// Selects one of the readers, so that they serve about as many nodes each.
    std::uint64_t choice_;
    sharing_timing timing_;
    std::size_t domain_size_ = 0;
    std::size_t fleet_size_ = 0;
    /// This node's rank in its domain, from 0.
    std::size_t rank_ = 0;
    /// IPs in the order in which they are polled: own domain first.
    std::vector<std::string> candidates_;
    /// End of the suspicion of readers that have failed.
    std::map<std::string, time_point> suspected_until_;
    time_point confirmed_at_;
    /// Latest time at which the known state was current.
    std::optional<time_point> current_at_;
    std::optional<time_point> last_poll_;
    /// Next read as a fallback while the registry is known to be unavailable.
    std::optional<time_point> next_fallback_;
};

} // namespace trefoil
