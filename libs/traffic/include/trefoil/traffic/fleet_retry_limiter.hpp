// Limits the retries that a node sends to further instances.
#pragma once

#include <array>
#include <cstdint>
#include <unordered_map>

#include <trefoil/base/ids.hpp>
#include <trefoil/base/time.hpp>

namespace trefoil {

/// Fleet-wide bound on retries: in any window, all nodes together send a service at most `ratio`
/// times its requests plus `slack` retries.
struct fleet_retry_bound {
    double ratio = 0.2;
    duration window = 10s;
    double slack = 40;

    friend bool operator==(const fleet_retry_bound&, const fleet_retry_bound&) = default;
};

/// One node's part of the fleet-wide bound. The ratio applies to the node's own requests and the
/// slack is divided among the nodes, so that the sum keeps the bound without communication between
/// nodes.
///
/// Prevents retry storms when a service fails at all instances. Once a fraction of the allowance is
/// used, the rest is reserved for the most important whole requests, and only for as many of them
/// as can have each of their failed calls retried. A whole request needs all of its calls to
/// succeed, so retries spread evenly over all whole requests would let hardly any of them finish.
class fleet_retry_limiter {
public:
    explicit fleet_retry_limiter(fleet_retry_bound bound) : bound_(bound) {}

    /// Sets the number of nodes that the slack is divided among; 0 counts as 1.
    void set_nodes(std::size_t nodes) { nodes_ = nodes == 0 ? 1 : nodes; }

    /// Records a request for the service.
    void record_request(time_point now, const service_name& service);

    /// Records a request that is a retry regardless of this limiter, since it was made by the retry
    /// of a request further up the call tree.
    void record_upstream_retry(time_point now, const service_name& service);

    /// Takes one retry for a whole request of this priority and request bucket. Returns false if
    /// the allowance of the window is exhausted or reserved for more important whole requests.
    bool take(time_point now, const service_name& service, std::uint32_t priority,
              std::uint32_t request_bucket);

    /// Refunds a retry that did not reach a target.
    void refund(time_point now, const service_name& service);

private:
    /// Slices that the sliding window is divided into.
    static constexpr std::size_t slice_count = 20;
    /// Fraction of the bound that is used, since the windows of nodes and of observers are not
    /// aligned.
    static constexpr double used_fraction = 0.75;

    /// Fraction of the allowance that is granted regardless of rank.
    static constexpr double unranked_fraction = 0.3;
    /// Fraction of the allowance that is granted by rank; the rest covers what was granted
    /// regardless of rank before.
    static constexpr double planned_fraction = 0.8;
    /// Number of priorities that are ranked separately; all less important ones count as the last.
    static constexpr std::uint32_t distinct_priorities = 5;
    /// Number of ranks that the request buckets of one priority are divided into.
    static constexpr std::uint32_t ranks_per_priority = 8;

    struct slice {
        std::int64_t number = -1;
        std::uint32_t requests = 0;
        std::uint32_t retries = 0;
    };
    /// Number of requested retries by rank, the most important first.
    using demand_counts =
        std::array<std::uint32_t, std::size_t{distinct_priorities} * ranks_per_priority>;

    struct service_state {
        std::array<slice, slice_count> ring;
        /// The slice in which demand is counted, its counts and those of the slice before.
        std::int64_t demand_slice = -1;
        demand_counts demand{};
        demand_counts previous_demand{};
        /// Accumulated credit of the rank that the plan covers in part, in retries.
        double credit = 0;
    };

    /// Rank of a whole request by priority, then by request bucket; 0 is the most important.
    static std::size_t rank_of(std::uint32_t priority, std::uint32_t request_bucket);
    duration slice_length() const { return bound_.window / static_cast<int>(slice_count); }
    /// Number of the slice at this time, counted since the epoch.
    std::int64_t slice_number(time_point now) const;
    /// Returns the slice of the present time, cleared if it is reused.
    slice& current_slice(time_point now, const service_name& service);
    /// Records that a retry of this rank was requested, whether or not it is granted.
    void record_demand(time_point now, service_state& state, std::size_t rank) const;
    /// Retries of the more important ranks that are requested in a window at the present rate.
    double demand_before(time_point now, const service_state& state, std::size_t rank) const;
    /// True if the planned retries cover all requested ones up to this rank. The rank that they
    /// cover in part gets the covered fraction, by its credit.
    bool is_covered(time_point now, service_state& state, std::size_t rank, double planned) const;

    fleet_retry_bound bound_;
    std::size_t nodes_ = 1;
    std::unordered_map<service_name, service_state> services_;
};

} // namespace trefoil
