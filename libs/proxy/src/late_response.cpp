#include "late_response.hpp"

#include <algorithm>

namespace trefoil {
namespace {

/// A response ends when its source has sent nothing for this long.
constexpr duration max_source_pause = 200ms;
/// The same for a client that takes nothing. The receive window of one that reads slowly is closed
/// for some seconds at a time.
constexpr duration max_client_pause = 5s;

duration max_pause(relay_wait reason) {
    switch (reason) {
    case relay_wait::earlier_responses:
        return duration::max();
    case relay_wait::client:
        return max_client_pause;
    case relay_wait::source:
        break;
    }
    return max_source_pause;
}

} // namespace

std::optional<duration> late_response::check(time_point now, const reply_relay& relay,
                                             std::optional<time_point> caller_deadline) {
    const auto progress = relay.progress();
    if (progress_ != progress) {
        progress_ = progress;
        progress_since_ = now;
    }
    const bool is_stuck = now - progress_since_ >= max_pause(relay.waits_for());
    if (is_stuck || (caller_deadline && now >= *caller_deadline)) {
        return std::nullopt;
    }
    const auto until_deadline = caller_deadline.value_or(time_point::max()) - now;
    return std::min(check_interval, until_deadline);
}

} // namespace trefoil
