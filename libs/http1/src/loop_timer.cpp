#include <trefoil/http1/loop_timer.hpp>

#include <algorithm>
#include <ctime>

#include <uv.h>

namespace trefoil::http1 {
namespace {

std::uint64_t round_up_to_ms(duration value) {
    return static_cast<std::uint64_t>(
        std::chrono::ceil<std::chrono::milliseconds>(std::max<duration>(value, 0ms)).count());
}

} // namespace

time_point loop_time(const uv_loop_s* loop) {
    return time_point(std::chrono::milliseconds(uv_now(loop)));
}

time_point boot_time() {
    timespec now{};
    clock_gettime(CLOCK_BOOTTIME, &now);
    return time_point(std::chrono::duration_cast<duration>(std::chrono::seconds(now.tv_sec) +
                                                           std::chrono::nanoseconds(now.tv_nsec)));
}

/// The libuv handle of a timer. It outlives the loop_timer, because libuv closes handles
/// asynchronously.
class loop_timer::handle {
public:
    handle(uv_loop_t* loop, std::function<void()> on_expiry) : on_expiry_(std::move(on_expiry)) {
        uv_timer_init(loop, &timer_);
        timer_.data = this;
    }

    void start(std::uint64_t delay_ms, std::uint64_t interval_ms) {
        uv_timer_start(&timer_, fire, delay_ms, interval_ms);
    }

    void stop() { uv_timer_stop(&timer_); }

    void close() {
        uv_timer_stop(&timer_);
        uv_close(reinterpret_cast<uv_handle_t*>(&timer_),
                 [](uv_handle_t* closed) { delete static_cast<handle*>(closed->data); });
    }

private:
    static void fire(uv_timer_t* timer) { static_cast<handle*>(timer->data)->on_expiry_(); }

    uv_timer_t timer_{};
    std::function<void()> on_expiry_;
};

loop_timer::loop_timer(uv_loop_s* loop, std::function<void()> on_expiry)
    : handle_(new handle(loop, std::move(on_expiry))) {}

loop_timer::~loop_timer() {
    handle_->close();
}

void loop_timer::start(duration delay) {
    handle_->start(round_up_to_ms(delay), 0);
}

void loop_timer::start_repeating(duration interval) {
    handle_->start(round_up_to_ms(interval), round_up_to_ms(interval));
}

void loop_timer::stop() {
    handle_->stop();
}

} // namespace trefoil::http1
