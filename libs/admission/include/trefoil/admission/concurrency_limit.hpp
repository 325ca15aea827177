// Adaptive limit on the calls in flight at one target.
#pragma once

#include <cstdint>

#include <trefoil/base/time.hpp>

namespace trefoil {

/// Adapts the number of calls in flight to what a target can process, between 1 and the number that
/// the target declares. The limit is reduced by a fixed factor when the target sheds or fails and
/// rises by one for each limit's worth of successes, as a congestion window does (Chiu and Jain
/// 1989). A restarted target gets a small limit that grows by one with each success, as in TCP slow
/// start (Jacobson 1988).
class concurrency_limit {
public:
    /// `highest` is the number of calls that the target declares, at least 1.
    concurrency_limit(std::uint32_t highest, bool is_adaptive, bool has_slow_start);

    /// The current limit in calls.
    std::uint32_t current() const;

    /// Records a successful call; `in_flight` is the number of calls in flight, including this one.
    void succeeded(std::uint32_t in_flight);

    /// Records that the target shed a call or failed, which reduces an adaptive limit. Signals
    /// within 100 ms of a reduction are ignored.
    void overloaded(time_point now);

    /// Records that the target's process has restarted, which begins a slow start.
    void restarted();

    /// Changes the highest limit, at least 1. A limit at the old highest value follows the change;
    /// a reduced limit is only lowered, if it exceeds the new highest value.
    void set_highest(std::uint32_t highest);

private:
    double highest_;
    bool is_adaptive_;
    bool has_slow_start_;
    double limit_;
    /// Below this limit, each success raises the limit by one.
    double slow_start_end_ = 1;
    time_point reduced_at_;
};

} // namespace trefoil
