#include <trefoil/admission/admission_level.hpp>

#include <algorithm>

namespace trefoil {
namespace {

constexpr duration window_length = 100ms;
/// Time that the queue may take to run off.
constexpr duration tolerated_sojourn = 20ms;
/// Weight of the newest window in running means.
constexpr float newest_weight = 0.3F;
/// Windows in which the queue's excess is meant to run off.
constexpr double drain_windows = 4;
/// With at least this share of the limit in use the threshold stays.
constexpr double full_use = 0.95;
/// Lowest used share that the rise is computed from.
constexpr double least_use = 0.1;
/// After a long silence this many windows are enough to forget all pressure.
constexpr int longest_silence = 100;

} // namespace

void admission_level::offered(std::uint32_t position) {
    const auto bucket = std::min<std::size_t>(position / bucket_width, bucket_count - 1);
    offered_now_[bucket] += 1;
}

void admission_level::update(time_point now, const admission_state& state) {
    if (now - window_.since > longest_silence * window_length) {
        window_ = {now, 0, 0, 0};
        threshold_ = admit_all;
        updated_at_ = now;
    }
    while (now - window_.since >= window_length) {
        const auto end = window_.since + window_length;
        add_time(end);
        close_window(end);
    }
    add_time(now);
    state_ = state;
    window_.least_queued = std::min(window_.least_queued, state.queued);
}

void admission_level::add_time(time_point until) {
    const double used = std::min(1.0, static_cast<double>(state_.in_flight) / state_.limit);
    window_.used_time += used * static_cast<double>((until - updated_at_).count());
    updated_at_ = until;
}

void admission_level::close_window(time_point end) {
    finished_mean_ += newest_weight * (window_.finished - finished_mean_);
    for (std::size_t i = 0; i < bucket_count; ++i) {
        offered_[i] += newest_weight * (offered_now_[i] - offered_[i]);
    }
    offered_now_.fill(0);
    const double tolerated = finished_mean_ * to_seconds(tolerated_sojourn) /
                             to_seconds(window_length);
    const double excess = window_.least_queued - tolerated;
    const double used = window_.used_time / static_cast<double>(window_length.count());
    if (window_.least_queued > 0 && excess > 0) {
        lower(excess / drain_windows);
    } else if (used < full_use && threshold_ < admit_all) {
        raise(used);
    }
    window_ = {end, 0, state_.queued, 0};
}

void admission_level::lower(double calls_to_shed) {
    double left = std::max(finished_mean_ - calls_to_shed, 0.0);
    std::size_t bucket = 0;
    while (bucket < bucket_count && offered_[bucket] <= left) {
        left -= offered_[bucket];
        ++bucket;
    }
    if (bucket == bucket_count) {
        return;
    }
    const auto part = static_cast<std::uint32_t>(left / offered_[bucket] * bucket_width);
    const auto wanted = static_cast<std::uint32_t>(bucket) * bucket_width + part;
    threshold_ = std::min(threshold_, std::max(wanted, 1U));
}

void admission_level::raise(double used) {
    const double idle_ratio = 1.0 / std::max(used, least_use) - 1.0;
    const double step = std::max(threshold_ * idle_ratio * recovery_speed_, 1.0);
    threshold_ = static_cast<std::uint32_t>(std::min<double>(threshold_ + step, admit_all));
}

} // namespace trefoil
