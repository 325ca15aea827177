#include "window_watch.hpp"

namespace trefoil::http1 {

void window_watch::begin(time_point now) {
    began_ = now;
    unacknowledged_since_ = now;
    unanswered_since_.reset();
}

void window_watch::check(time_point now, const tcp_state& seen) {
    const bool was_limited = seen.window_limited_time > duration{0} || seen.is_window_closed();
    if (was_limited && !limited_since_) {
        limited_since_ = began_;
    }
    const bool has_silent = has_silent_data(now, seen) || has_silent_probes(now, seen);
    is_silent_ = is_limited() && has_silent;
}

std::chrono::milliseconds window_watch::user_timeout(time_point now) const {
    return limited_since_ ? whole_ms(now - *limited_since_) + probe_interval : default_user_timeout;
}

bool window_watch::has_silent_data(time_point now, const tcp_state& seen) {
    if (seen.unacknowledged_segments == 0) {
        unacknowledged_since_.reset();
    } else if (!unacknowledged_since_ || seen.acknowledged_bytes != acknowledged_bytes_) {
        unacknowledged_since_ = now;
    }
    acknowledged_bytes_ = seen.acknowledged_bytes;
    return unacknowledged_since_ && now - *unacknowledged_since_ >= default_user_timeout;
}

bool window_watch::has_silent_probes(time_point now, const tcp_state& seen) {
    if (seen.unanswered_probes == 0) {
        unanswered_since_.reset();
    } else if (!unanswered_since_) {
        unanswered_since_ = now;
    }
    // A probe may only just have been sent, long after the last acknowledgement.
    return unanswered_since_ && now - *unanswered_since_ >= probe_interval &&
           seen.since_acknowledgement >= default_user_timeout;
}

} // namespace trefoil::http1
