#include "target_probe.hpp"

namespace trefoil {
namespace {

constexpr std::uint64_t interval_when_up_ms = 1000;
constexpr std::uint64_t interval_when_down_ms = 50;

struct probe_connection {
    uv_tcp_t tcp{};
    uv_connect_t request{};
    std::function<void(bool)> done;
};

} // namespace

target_probe::target_probe(uv_loop_t* loop, endpoint target, std::function<void(bool)> on_change)
    : loop_(loop), target_(std::move(target)), on_change_(std::move(on_change)) {
    uv_timer_init(loop_, &timer_);
    timer_.data = this;
    uv_unref(reinterpret_cast<uv_handle_t*>(&timer_));
    probe_now();
}

void target_probe::probe_now() {
    if (!is_probing_ && !is_stopped_) {
        connect();
    }
}

void target_probe::stop() {
    is_stopped_ = true;
    uv_timer_stop(&timer_);
}

void target_probe::connect() {
    is_probing_ = true;
    auto* probe = new probe_connection;
    probe->done = [this](bool is_up) { report(is_up); };
    uv_tcp_init(loop_, &probe->tcp);
    probe->tcp.data = probe;
    sockaddr_storage address{};
    auto* v4 = reinterpret_cast<sockaddr_in*>(&address);
    if (uv_ip4_addr(target_.ip.c_str(), target_.port, v4) != 0) {
        uv_ip6_addr(target_.ip.c_str(), target_.port, reinterpret_cast<sockaddr_in6*>(&address));
    }
    uv_tcp_connect(&probe->request, &probe->tcp, reinterpret_cast<sockaddr*>(&address),
                   [](uv_connect_t* request, int status) {
                       auto* finished = static_cast<probe_connection*>(request->handle->data);
                       finished->done(status == 0);
                       uv_close(reinterpret_cast<uv_handle_t*>(&finished->tcp),
                                [](uv_handle_t* handle) {
                                    delete static_cast<probe_connection*>(handle->data);
                                });
                   });
}

void target_probe::report(bool is_up) {
    is_probing_ = false;
    if (is_stopped_) {
        return;
    }
    uv_timer_start(
        &timer_, [](uv_timer_t* timer) { static_cast<target_probe*>(timer->data)->probe_now(); },
        is_up ? interval_when_up_ms : interval_when_down_ms, 0);
    if (is_up != was_up_) {
        was_up_ = is_up;
        on_change_(is_up);
    }
}

} // namespace trefoil
