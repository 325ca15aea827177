// Clock and timer of a libuv loop.
#pragma once

#include <functional>

#include <trefoil/base/time.hpp>

struct uv_loop_s;

namespace trefoil::http1 {

/// Returns the loop's cached time: the start of the current loop iteration, with a resolution of
/// one millisecond, relative to an arbitrary point in the past.
time_point loop_time(const uv_loop_s* loop);

/// Returns the time since the machine was started, which also counts while it is suspended. Nodes
/// use it where they rely on the age of information.
time_point boot_time();

/// One-shot or periodic timer. Destroying the timer stops it; the callback itself may do so.
class loop_timer {
public:
    loop_timer(uv_loop_s* loop, std::function<void()> on_expiry);
    ~loop_timer();
    loop_timer(const loop_timer&) = delete;
    loop_timer& operator=(const loop_timer&) = delete;

    /// Calls the function once after the delay, rounded up to whole milliseconds. Replaces an
    /// earlier start.
    void start(duration delay);
    /// Calls the function periodically, first after one interval.
    void start_repeating(duration interval);
    void stop();

private:
    class handle;
    handle* handle_;
};

} // namespace trefoil::http1
