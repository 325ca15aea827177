// Health probe of the target.
#pragma once

#include <functional>

#include <uv.h>

#include <trefoil/base/endpoint.hpp>

namespace trefoil {

/// Checks periodically whether the target accepts TCP connections and reports each change. The
/// target counts as up until a probe fails. The probe must live as long as its loop.
class target_probe {
public:
    target_probe(uv_loop_t* loop, endpoint target, std::function<void(bool)> on_change);

    /// Starts a probe without waiting for the timer, for instance after a failed exchange. Has no
    /// effect while a probe is in progress or after stop().
    void probe_now();
    /// Stops probing; changes are no longer reported.
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
