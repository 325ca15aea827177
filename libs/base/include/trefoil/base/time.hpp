// Durations and points in time as the whole project measures them.
#pragma once

#include <chrono>
#include <cstdint>

namespace trefoil {

/// A span of time in microseconds.
using duration = std::chrono::microseconds;

/// The clock that the core is driven by. It never reads the machine's time: whoever drives the
/// core passes each point in time in, so that tests can pause it and advance it.
struct node_clock {
    using duration = std::chrono::microseconds;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<node_clock>;
    static constexpr bool is_steady = true;
};

/// A point in time on the node's own monotonic clock. Clocks of different nodes are unrelated.
using time_point = node_clock::time_point;

using std::chrono_literals::operator""ms;
using std::chrono_literals::operator""s;
using std::chrono_literals::operator""us;

/// The duration in milliseconds, with its fraction.
constexpr double to_ms(duration value) {
    return static_cast<double>(value.count()) / 1000.0;
}

/// The duration in whole milliseconds, rounded down.
constexpr std::chrono::milliseconds whole_ms(duration value) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(value);
}

/// The duration in seconds, with its fraction.
constexpr double to_seconds(duration value) {
    return static_cast<double>(value.count()) / 1e6;
}

} // namespace trefoil
