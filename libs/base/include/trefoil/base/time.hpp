// Duration and time point types.
#pragma once

#include <chrono>
#include <cstdint>

namespace trefoil {

/// A span of time in microseconds.
using duration = std::chrono::microseconds;

/// Clock of the core. It has no now(): the process that runs the core passes the current time to
/// each step, so that tests can pause and advance time.
struct node_clock {
    using duration = std::chrono::microseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<node_clock>;
    static constexpr bool is_steady = true;
};

/// A point in time on the monotonic clock of one node. The clocks of different nodes are unrelated.
using time_point = node_clock::time_point;

using std::chrono_literals::operator""ms;
using std::chrono_literals::operator""s;
using std::chrono_literals::operator""us;

/// Converts to milliseconds with a fraction.
constexpr double to_ms(duration value) {
    return static_cast<double>(value.count()) / 1000.0;
}

/// Converts to whole milliseconds, truncated towards zero.
constexpr std::chrono::milliseconds whole_ms(duration value) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(value);
}

/// Converts to seconds with a fraction.
constexpr double to_seconds(duration value) {
    return static_cast<double>(value.count()) / 1e6;
}

/// Converts a number of seconds, truncated to whole microseconds.
constexpr duration from_seconds(double value) {
    return duration(static_cast<duration::rep>(value * 1e6));
}

} // namespace trefoil
