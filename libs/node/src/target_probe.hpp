// Learns whether the target accepts connections.
#pragma once

#include <functional>

#include <uv.h>

#include <trefoil/base/endpoint.hpp>

namespace trefoil {

/// Connects to the target again and again and tells of each change. Lives as long as its loop.
class target_probe {
public:
    target_probe(uv_loop_t* loop, endpoint target, std::function<void(bool)> on_change);

    /// Probes at once, as after a refused connection.
    void probe_now();
    void stop();

private:
    void connect();
    void report(bool is_up);

    uv_loop_t* loop_;
    endpoint target_;
    std::function<void(bool)> on_change_;
    uv_timer_t timer_{};
    bool is_probing_ = false;
    bool is_stopped_ = false;
    bool was_up_ = true;
};

} // namespace trefoil
