#include "peer_watch.hpp"

#include <utility>

#include "stream_socket.hpp"
#include "tcp_state.hpp"

namespace trefoil::http1 {
namespace {

/// Time from a write to the first look at the receive window, and between two looks while data is
/// unacknowledged.
constexpr duration first_look_delay = 1s;
constexpr duration look_interval = 250ms;
/// What is added to the TCP user timeout for what is left in the socket of a connection that was
/// ended.
constexpr std::chrono::milliseconds closed_user_timeout{30'000};

} // namespace

peer_watch::peer_watch(uv_loop_s* loop, std::function<void()> on_silent)
    : loop_(loop), on_silent_(std::move(on_silent)), timer_(loop, [this] { check(); }) {}

void peer_watch::open(int socket) {
    socket_ = socket;
    if (socket_ < 0) {
        return;
    }
    enable_dead_peer_detection(socket_);
    apply(window_watch::default_user_timeout);
}

void peer_watch::on_write() {
    if (is_looking_ || !allows_closed_window_) {
        return;
    }
    is_looking_ = true;
    window_.begin(now());
    apply(window_.user_timeout(now()));
    timer_.start(first_look_delay);
}

void peer_watch::set_user_timeout(std::optional<std::chrono::milliseconds> timeout) {
    if (timeout && allows_closed_window_) {
        stop();
        window_.begin(now());
    } else if (!timeout && !allows_closed_window_ && socket_ >= 0) {
        // Nobody has looked at the window so far.
        window_.check(now(), read_tcp_state(socket_));
    }
    allows_closed_window_ = !timeout.has_value();
    apply(timeout.value_or(window_watch::default_user_timeout));
}

void peer_watch::stop() {
    is_looking_ = false;
    timer_.stop();
}

void peer_watch::leave_rest_to_system(bool is_ended) {
    stop();
    const bool is_default = !is_ended && !window_.is_limited();
    if (socket_ < 0 || is_default || !read_tcp_state(socket_).has_unacknowledged_data()) {
        return;
    }
    if (is_ended) {
        apply(window_.user_timeout(now()) + closed_user_timeout);
    } else if (allows_closed_window_) {
        apply(window_watch::default_user_timeout);
    }
}

void peer_watch::check() {
    const auto seen = read_tcp_state(socket_);
    const bool was_limited = window_.is_limited();
    window_.check(now(), seen);
    if (window_.is_silent()) {
        stop();
        on_silent_();
        return;
    }
    if (window_.is_limited() && !was_limited) {
        set_max_probe_interval(socket_, window_watch::probe_interval);
    }
    if (seen.has_unacknowledged_data()) {
        apply(window_.user_timeout(now()));
        timer_.start(look_interval);
    } else {
        stop();
        apply(window_watch::default_user_timeout);
    }
}

void peer_watch::apply(std::chrono::milliseconds timeout) {
    if (timeout != user_timeout_ && socket_ >= 0) {
        user_timeout_ = timeout;
        http1::set_user_timeout(socket_, timeout);
    }
}

} // namespace trefoil::http1
