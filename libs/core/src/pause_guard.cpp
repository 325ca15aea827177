#include "pause_guard.hpp"

#include <algorithm>

namespace trefoil {
namespace {

constexpr duration heartbeat = 200ms;
/// A heartbeat that is late by more than this indicates a pause.
constexpr duration max_lateness = 200ms;
/// Time for reading the input that arrived during the pause.
constexpr duration catch_up_time = 20ms;
/// A pause after which the instance list may be stale.
constexpr duration long_pause = 1s;
/// Maximum wait for a confirmation of the instance list.
constexpr duration confirmation_timeout = 300ms;

} // namespace

void pause_guard::start(time_point now) {
    last_step_ = now;
    next_heartbeat_ = now + heartbeat;
}

std::optional<duration> pause_guard::begin_step(time_point now) {
    const bool is_late = now > next_heartbeat_ + max_lateness;
    const auto gap = now - last_step_;
    if (is_late) {
        pause_start_ = last_step_;
        catch_up_until_ = now + catch_up_time;
        dispatch_blocked_until_ =
            gap >= long_pause ? catch_up_until_ + confirmation_timeout : catch_up_until_;
    }
    if (now >= next_heartbeat_) {
        next_heartbeat_ = now + heartbeat;
    }
    last_step_ = now;
    return is_late ? std::optional(gap) : std::nullopt;
}

// A confirmation that is read right after the pause may be as old as the pause and is ignored.
void pause_guard::on_instance_list_confirmed(time_point now) {
    if (!is_catching_up(now)) {
        dispatch_blocked_until_ = std::min(dispatch_blocked_until_, now);
    }
}

time_point pause_guard::next_wake(time_point now) const {
    auto wake = next_heartbeat_;
    for (const auto end : {catch_up_until_, dispatch_blocked_until_}) {
        if (end > now) {
            wake = std::min(wake, end);
        }
    }
    return wake;
}

} // namespace trefoil
