#include <trefoil/work/target_backlog.hpp>

#include <algorithm>

namespace trefoil {
namespace {

/// A route without an answer for this time is tried without regard to its service time.
constexpr duration retrial_time = 1s;
/// Shortest remaining time of a running call.
constexpr double min_remaining_us = 500;

duration from_us(double value) {
    return duration(static_cast<duration::rep>(value));
}

} // namespace

void target_backlog::wait(time_point now, call_id call, const std::string& route) {
    const auto work_us = static_cast<double>(estimator_.expected(now, route).count());
    calls_.insert_or_assign(call, tracked{route, work_us, std::nullopt});
    waiting_us_ += work_us;
    ++waiting_count_;
}

void target_backlog::start(time_point now, call_id call) {
    const auto found = calls_.find(call);
    if (found == calls_.end() || found->second.started) {
        return;
    }
    found->second.started = now;
    leave_queue(found->second);
}

void target_backlog::leave_queue(const tracked& call) {
    --waiting_count_;
    // The sum of an empty queue is exactly 0, whatever was lost by rounding.
    waiting_us_ = waiting_count_ == 0 ? 0 : std::max(waiting_us_ - call.work_us, 0.0);
}

void target_backlog::remove(call_id call) {
    const auto found = calls_.find(call);
    if (found == calls_.end()) {
        return;
    }
    if (!found->second.started) {
        leave_queue(found->second);
    }
    calls_.erase(found);
}

void target_backlog::finish(time_point now, call_id call, duration took) {
    const auto found = calls_.find(call);
    if (found == calls_.end()) {
        return;
    }
    if (found->second.work_us > 0) {
        shape_.record(static_cast<double>(took.count()) / found->second.work_us);
    }
    estimator_.record(now, found->second.route, took);
    remove(call);
}

duration target_backlog::waiting() const {
    return from_us(waiting_us_);
}

double target_backlog::remaining_us(time_point now, const tracked& call) const {
    const auto elapsed_us = static_cast<double>((now - *call.started).count());
    if (call.work_us <= 0) {
        return std::max(elapsed_us, min_remaining_us);
    }
    return std::max(shape_.remaining(elapsed_us / call.work_us) * call.work_us, min_remaining_us);
}

duration target_backlog::running(time_point now) const {
    double sum = 0;
    for (const auto& [id, call] : calls_) {
        sum += call.started ? remaining_us(now, call) : 0;
    }
    return from_us(sum);
}

duration target_backlog::first_end(time_point now) const {
    double ends_per_us = 0;
    for (const auto& [id, call] : calls_) {
        ends_per_us += call.started ? 1 / remaining_us(now, call) : 0;
    }
    return ends_per_us > 0 ? from_us(1 / ends_per_us) : duration{0};
}

duration target_backlog::median(time_point now, const std::string& route) const {
    const auto last = estimator_.last_sample(route);
    if (!last || now - *last > retrial_time) {
        return duration{0};
    }
    return from_us(static_cast<double>(estimator_.expected(now, route).count()) * shape_.median());
}

} // namespace trefoil
