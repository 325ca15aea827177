#include <trefoil/admission/admission_level.hpp>

#include <algorithm>
#include <cmath>

namespace trefoil {
namespace {

constexpr duration window_length = 100ms;
/// Queueing time that does not count as pressure.
constexpr duration tolerated_sojourn = 50ms;
/// Windows until a new threshold takes effect on the load that is offered here.
constexpr std::size_t settling_windows = 6;
/// Number of first windows under pressure in which estimates of demand follow new values faster.
constexpr int onset_windows = 3;
/// Consecutive windows under pressure before a threshold below admit_all is set. A shorter burst
/// drains without one.
constexpr int min_pressure_windows = 2;
/// Windows over which the excess of the queue is drained.
constexpr double drain_windows = 10;
/// Weight of the newest window in the moving averages of demand.
constexpr double demand_weight = 0.15;
/// The same weight in the first windows under pressure, when demand has just changed.
constexpr double onset_demand_weight = 0.5;
/// Weight of the newest window in the moving average of service times.
constexpr double service_time_weight = 0.3;
/// With less than this share of the limit in use, the threshold is too low.
constexpr double slack_utilization = 0.7;
/// Weight of the newest window, and factor on the rate of decay, while the threshold is too low.
constexpr double slack_demand_weight = 0.3;
constexpr double slack_decay_factor = 3;
/// The demand of a priority is measurable if at least this share of its positions is let through.
constexpr double min_visible_share = 0.125;
/// Half-lives of the demand that is not visible, in windows, at recovery speed 0 and 1.
constexpr double max_half_life = 40;
constexpr double min_half_life = 2;
/// After this many windows without an update, the threshold and the demand are reset.
constexpr int idle_reset_windows = 100;

std::size_t priority_of(std::uint32_t position) {
    return position / positions_per_priority;
}

} // namespace

admission_level::admission_level(double recovery_speed) {
    const double half_life =
        max_half_life * std::pow(min_half_life / max_half_life, recovery_speed);
    demand_decay_ = std::exp2(-1.0 / half_life);
}

void admission_level::offered(std::uint32_t position) {
    const auto priority = std::min(priority_of(position), priorities - 1);
    window_.offered[priority] += 1;
    window_.offered_below[priority] += position < settled_threshold_ ? 1 : 0;
}

void admission_level::finished(duration service_time) {
    ++window_.finished;
    window_.service_time += static_cast<double>(service_time.count());
}

void admission_level::update(time_point now, const admission_state& state) {
    if (now - window_.since > idle_reset_windows * window_length) {
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
    window_.min_queued = std::min(window_.min_queued, state.queued);
}

void admission_level::add_time(time_point until) {
    const double used = std::min(1.0, static_cast<double>(state_.in_flight) / state_.limit);
    window_.utilization_time += used * static_cast<double>((until - updated_at_).count());
    updated_at_ = until;
}

void admission_level::close_window(time_point end) {
    if (window_.finished > 0) {
        const double mean = window_.service_time / window_.finished;
        service_time_ += service_time_ == 0 ? mean : service_time_weight * (mean - service_time_);
    }
    const double tolerated = capacity() * to_seconds(tolerated_sojourn) / to_seconds(window_length);
    const double excess = window_.min_queued - tolerated;
    const bool has_pressure = window_.min_queued > 0 && excess > 0;
    estimate_demand(has_pressure);
    if (is_limiting() || windows_under_pressure_ >= min_pressure_windows) {
        const double drain = has_pressure ? excess / drain_windows : 0;
        set_threshold(threshold_for(std::max(capacity() - drain, 0.0)));
    }
    window_ = {};
    window_.since = end;
    window_.min_queued = state_.queued;
}

void admission_level::estimate_demand(bool has_pressure) {
    windows_under_pressure_ = has_pressure ? windows_under_pressure_ + 1 : 0;
    const bool is_onset = has_pressure && windows_under_pressure_ <= onset_windows;
    const double used = window_.utilization_time / static_cast<double>(window_length.count());
    const bool has_slack = is_limiting() && used < slack_utilization;
    const double steady_weight = has_slack ? slack_demand_weight : demand_weight;
    const double weight = is_onset ? onset_demand_weight : steady_weight;
    const double decay = has_slack ? std::pow(demand_decay_, slack_decay_factor) : demand_decay_;
    for (std::size_t i = 0; i < priorities; ++i) {
        const double share = visible_share(i);
        if (share >= min_visible_share) {
            demand_[i] += weight * (window_.offered_below[i] / share - demand_[i]);
        } else {
            const double updated = demand_[i] + weight * (window_.offered[i] - demand_[i]);
            demand_[i] = std::max(demand_[i] * decay, updated);
        }
    }
}

double admission_level::visible_share(std::size_t priority) const {
    const auto first = static_cast<double>(priority * positions_per_priority);
    return std::clamp((settled_threshold_ - first) / positions_per_priority, 0.0, 1.0);
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
    recent_thresholds_.push_back(threshold);
    if (recent_thresholds_.size() > settling_windows) {
        recent_thresholds_.pop_front();
    }
    settled_threshold_ = *std::min_element(recent_thresholds_.begin(), recent_thresholds_.end());
}

double admission_level::capacity() const {
    if (service_time_ <= 0) {
        return state_.limit;
    }
    return state_.limit * static_cast<double>(window_length.count()) / service_time_;
}

} // namespace trefoil
