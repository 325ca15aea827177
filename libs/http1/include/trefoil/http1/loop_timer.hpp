// Time on a libuv loop.
#pragma once

#include <functional>

#include <trefoil/base/time.hpp>

struct uv_loop_s;

namespace trefoil::http1 {

/// The loop's time: that of its present iteration, in milliseconds since an arbitrary start.
time_point loop_time(const uv_loop_s* loop);

/// Calls a function once or again and again. Destroying it stops it, also from its own function.
class loop_timer {
public:
    loop_timer(uv_loop_s* loop, std::function<void()> on_time);
    ~loop_timer();
    loop_timer(const loop_timer&) = delete;
    loop_timer& operator=(const loop_timer&) = delete;

    /// Calls the function after the delay, rounded up to milliseconds; replaces an earlier start.
    void start(duration delay);
    /// Calls the function after each interval.
    void start_repeating(duration interval);
    void stop();

private:
    class handle;
    handle* handle_;
};

} // namespace trefoil::http1
