// Limit on the rate at which calls are dispatched to a target.
#pragma once

#include <optional>

#include <trefoil/base/time.hpp>

namespace trefoil {

/// Spaces the calls to a target that has named the number of calls a second that it accepts
/// (generic cell rate algorithm, ITU-T I.371). A short burst is admitted at once, so that random
/// arrivals below the rate do not wait. Handles load above a limit that is lower than what the
/// target's slots would allow. Does not read a clock; the caller passes the current time.
class rate_limiter {
public:
    /// Sets the limit in calls a second, or removes it. The calls admitted before still count
    /// against a limit that is set again. A limit below `min_rate` counts as `min_rate`, since only
    /// the answer to a call can show that the limit has ended.
    void set_rate(std::optional<double> calls_per_second);

    std::optional<double> rate() const { return rate_; }

    /// Earliest time at which the next call may be dispatched; in the past if it may be now.
    time_point next_start() const;

    /// Records that a call is dispatched.
    void record_start(time_point now);

    /// Calls a second that are admitted whatever the limit.
    static constexpr double min_rate = 0.5;
    /// A burst is as large as the number of calls that the rate admits in this time.
    static constexpr duration burst_time = 250ms;

private:
    duration interval() const;

    std::optional<double> rate_;
    /// Time at which the calls dispatched so far would have been spaced evenly.
    time_point even_until_;
};

} // namespace trefoil
