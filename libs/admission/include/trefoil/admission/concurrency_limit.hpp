// How many calls a target is given at once.
#pragma once

#include <cstdint>

#include <trefoil/base/time.hpp>

namespace trefoil {

/// A limit between 1 and what the target declares. It falls by a fixed factor when the target sheds
/// or fails and rises by one for each limit's worth of successes, as congestion windows do (Chiu
/// and Jain 1989). A target that has just started gets a small limit that grows by one with each
/// success, as in TCP's slow start (Jacobson 1988).
class concurrency_limit {
public:
    /// `highest` is at least 1.
    concurrency_limit(std::uint32_t highest, bool is_adaptive, bool has_slow_start);

    std::uint32_t current() const;

    /// A call ended well while this many, it included, were in flight.
    void succeeded(std::uint32_t in_flight);

    /// The target shed a call or failed. Signals that come together count once.
    void overloaded(time_point now);

    /// The target's process is new.
    void restarted();

    /// The target declares another highest limit, at least 1. A limit that was not reduced follows.
    void set_highest(std::uint32_t highest);

private:
    double highest_;
    bool is_adaptive_;
    bool has_slow_start_;
    double limit_;
    /// Below this the limit grows with each success.
    double slow_start_end_ = 1;
    time_point reduced_at_;
};

} // namespace trefoil
