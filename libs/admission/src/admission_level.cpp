#include <trefoil/admission/admission_level.hpp>

#include <algorithm>
#include <cmath>

namespace trefoil {
namespace {

constexpr duration window_length = 100ms;
/// Time that the queue may take to run off.
constexpr duration tolerated_sojourn = 50ms;
/// Windows that a threshold takes to show its effect in what is offered here.
constexpr std::size_t settling_windows = 6;
constexpr int onset_windows = 3;
/// Windows of pressure, one after the other, before the threshold leaves its highest place: a
/// shorter burst runs off by itself.
constexpr int patience_windows = 2;
/// Windows in which the queue's excess is meant to run off.
constexpr double drain_windows = 10;
/// Weight of the newest window in the running means of demand.
constexpr double newest_weight = 0.15;
/// The same in the first windows of pressure, when demand has just changed.
constexpr double newest_weight_at_onset = 0.5;
/// Weight of the newest window in the running mean of service times.
constexpr double newest_service_weight = 0.3;
/// With less than this share of the limit in use the threshold is too low.
constexpr double slack_use = 0.7;
/// Weight of the newest window, and factor on the speed of forgetting, while it is too low.
constexpr double newest_weight_with_slack = 0.3;
constexpr double forgetting_with_slack = 3;
/// The demand of a priority is seen if at least this share of it is let through.
constexpr double least_visible_share = 0.125;
/// Half-lives of the remembered demand, in windows, at recovery speed 0 and 1.
constexpr double slowest_half_life = 40;
constexpr double fastest_half_life = 2;
/// After this many windows without a call all pressure is forgotten.
constexpr int longest_silence = 100;

std::size_t priority_of(std::uint32_t position) {
    return position / positions_per_priority;
}

} // namespace

admission_level::admission_level(double recovery_speed) {
    const double half_life =
        slowest_half_life * std::pow(fastest_half_life / slowest_half_life, recovery_speed);
    memory_ = std::exp2(-1.0 / half_life);
}

void admission_level::offered(std::uint32_t position) {
    const auto priority = std::min(priority_of(position), priorities - 1);
    window_.offered[priority] += 1;
    window_.offered_below[priority] += position < settled_ ? 1 : 0;
}

void admission_level::finished(duration service_time) {
    ++window_.finished;
    window_.service_time += static_cast<double>(service_time.count());
}

void admission_level::update(time_point now, const admission_state& state) {
    if (now - window_.since > longest_silence * window_length) {
        set_threshold(admit_all);
        demand_.fill(0);
        window_ = {};
        window_.since = now;
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
    if (window_.finished > 0) {
        const double mean = window_.service_time / window_.finished;
        service_time_ += service_time_ == 0 ? mean : newest_service_weight * (mean - service_time_);
    }
    const double tolerated = capacity() * to_seconds(tolerated_sojourn) / to_seconds(window_length);
    const double excess = window_.least_queued - tolerated;
    const bool has_pressure = window_.least_queued > 0 && excess > 0;
    estimate_demand(has_pressure);
    if (is_limiting() || windows_under_pressure_ >= patience_windows) {
        const double drain = has_pressure ? excess / drain_windows : 0;
        set_threshold(threshold_for(std::max(capacity() - drain, 0.0)));
    }
    window_ = {};
    window_.since = end;
    window_.least_queued = state_.queued;
}

void admission_level::estimate_demand(bool has_pressure) {
    windows_under_pressure_ = has_pressure ? windows_under_pressure_ + 1 : 0;
    const bool is_onset = has_pressure && windows_under_pressure_ <= onset_windows;
    const double used = window_.used_time / static_cast<double>(window_length.count());
    const bool has_slack = is_limiting() && used < slack_use;
    const double calm_weight = has_slack ? newest_weight_with_slack : newest_weight;
    const double weight = is_onset ? newest_weight_at_onset : calm_weight;
    const double kept = has_slack ? std::pow(memory_, forgetting_with_slack) : memory_;
    for (std::size_t i = 0; i < priorities; ++i) {
        const double share = visible_share(i);
        if (share >= least_visible_share) {
            demand_[i] += weight * (window_.offered_below[i] / share - demand_[i]);
        } else {
            const double risen = demand_[i] + weight * (window_.offered[i] - demand_[i]);
            demand_[i] = std::max(demand_[i] * kept, risen);
        }
    }
}

double admission_level::visible_share(std::size_t priority) const {
    const auto first = static_cast<double>(priority * positions_per_priority);
    return std::clamp((settled_ - first) / positions_per_priority, 0.0, 1.0);
}

std::uint32_t admission_level::threshold_for(double calls) const {
    for (std::size_t i = 0; i < priorities; ++i) {
        if (demand_[i] > calls) {
            const double position = static_cast<double>(i) + calls / demand_[i];
            return static_cast<std::uint32_t>(position * positions_per_priority);
        }
        calls -= demand_[i];
    }
    return admit_all;
}

void admission_level::set_threshold(std::uint32_t threshold) {
    threshold_ = threshold;
    former_.push_back(threshold);
    if (former_.size() > settling_windows) {
        former_.pop_front();
    }
    settled_ = *std::min_element(former_.begin(), former_.end());
}

double admission_level::capacity() const {
    if (service_time_ <= 0) {
        return state_.limit;
    }
    return state_.limit * static_cast<double>(window_length.count()) / service_time_;
}

} // namespace trefoil
