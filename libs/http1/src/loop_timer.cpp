#include <trefoil/http1/loop_timer.hpp>

#include <algorithm>

#include <uv.h>

namespace trefoil::http1 {
namespace {

std::uint64_t rounded_up_ms(duration value) {
    return static_cast<std::uint64_t>(
        std::chrono::ceil<std::chrono::milliseconds>(std::max<duration>(value, 0ms)).count());
}

} // namespace

time_point loop_time(const uv_loop_s* loop) {
    return time_point(std::chrono::milliseconds(uv_now(loop)));
}

/// Outlives its timer until libuv has closed it.
class loop_timer::handle {
public:
    handle(uv_loop_t* loop, std::function<void()> on_time) : on_time_(std::move(on_time)) {
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
    static void fire(uv_timer_t* timer) { static_cast<handle*>(timer->data)->on_time_(); }

    uv_timer_t timer_{};
    std::function<void()> on_time_;
};

loop_timer::loop_timer(uv_loop_s* loop, std::function<void()> on_time)
    : handle_(new handle(loop, std::move(on_time))) {}

loop_timer::~loop_timer() {
    handle_->close();
}

void loop_timer::start(duration delay) {
    handle_->start(rounded_up_ms(delay), 0);
}

void loop_timer::start_repeating(duration interval) {
    handle_->start(rounded_up_ms(interval), rounded_up_ms(interval));
}

void loop_timer::stop() {
    handle_->stop();
}

} // namespace trefoil::http1
