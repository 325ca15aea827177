#include "lingering_close.hpp"

namespace trefoil::http1 {

void lingering_close::on_shut_down(time_point now) {
    if (stage_ != stage::writing) {
        return;
    }
    stage_ = has_peer_ended_ ? stage::over : stage::delivering;
    shut_down_at_ = now;
}

void lingering_close::on_input(time_point now, std::size_t bytes) {
    discarded_bytes_ += bytes;
    if (discarded_bytes_ > limits_.max_discarded_bytes) {
        stage_ = stage::over;
    } else if (stage_ == stage::waiting_for_peer) {
        progress_at_ = now;
    }
}

void lingering_close::on_peer_end() {
    has_peer_ended_ = true;
    if (stage_ != stage::writing) {
        stage_ = stage::over;
    }
}

void lingering_close::check(time_point now, const tcp_state& seen) {
    if (stage_ == stage::writing && seen.acknowledged_bytes != acknowledged_bytes_) {
        acknowledged_bytes_ = seen.acknowledged_bytes;
        progress_at_ = now;
    }
    if (stage_ == stage::delivering && !seen.has_unacknowledged_data()) {
        stage_ = stage::waiting_for_peer;
        progress_at_ = now;
    }
    const bool is_paused =
        (stage_ == stage::writing && now - progress_at_ >= limits_.max_write_pause) ||
        (stage_ == stage::waiting_for_peer && now - progress_at_ >= limits_.max_input_pause);
    const bool is_late =
        stage_ != stage::writing && now - shut_down_at_ >= limits_.max_delivery_time;
    if (is_paused || is_late) {
        stage_ = stage::over;
    }
}

} // namespace trefoil::http1
