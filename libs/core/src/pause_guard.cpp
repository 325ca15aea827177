#include "pause_guard.hpp"

#include <algorithm>

namespace trefoil {
namespace {

constexpr duration heartbeat = 200ms;
/// A heartbeat that is later than this shows a gap.
constexpr duration max_lateness = 200ms;
/// Time for reading what arrived during the gap.
constexpr duration reading_time = 20ms;
/// A gap after which the list of instances may be too old.
constexpr duration long_gap = 1s;
/// How long a confirmation of the list is waited for.
constexpr duration confirmation_time = 300ms;

} // namespace

void pause_guard::start(time_point now) {
    last_step_ = now;
    beat_ = now + heartbeat;
}

std::optional<duration> pause_guard::enter_step(time_point now) {
    const bool is_late = now > beat_ + max_lateness;
    const auto gap = now - last_step_;
    if (is_late) {
        gap_began_ = last_step_;
        reading_until_ = now + reading_time;
        holding_until_ = gap >= long_gap ? reading_until_ + confirmation_time : reading_until_;
    }
    if (now >= beat_) {
        beat_ = now + heartbeat;
    }
    last_step_ = now;
    return is_late ? std::optional(gap) : std::nullopt;
}

// An answer that is read at once may be as old as the gap.
void pause_guard::list_confirmed(time_point now) {
    if (!is_reading(now)) {
        holding_until_ = std::min(holding_until_, now);
    }
}

time_point pause_guard::next_wake(time_point now) const {
    auto wake = beat_;
    for (const auto end : {reading_until_, holding_until_}) {
        if (end > now) {
            wake = std::min(wake, end);
        }
    }
    return wake;
}

} // namespace trefoil
