#include <trefoil/routing/instance_health.hpp>

#include <algorithm>

namespace trefoil {
namespace {

/// Lost or refused connections in a row that eject an instance.
constexpr std::uint32_t max_lost = 3;
/// Timeouts in a row that eject an instance while others of its service answer well.
constexpr std::uint32_t max_timeouts = 3;
/// Timeouts in a row that eject an instance in any case: not even a refusal came back.
constexpr std::uint32_t max_silent_timeouts = 10;
/// Error answers in a row that eject an instance while others of its service answer well.
constexpr std::uint32_t max_errors = 10;
/// The first ejection's time; each further one doubles it.
constexpr duration first_ejection = 1s;
constexpr duration longest_ejection = 30s;
/// An instance that was in use for so long starts again with the shortest ejection.
constexpr duration good_conduct = 60s;

} // namespace

ejection_event instance_health::note(time_point now, attempt_result result,
                                     std::optional<time_point> service_good_at) {
    if (result == attempt_result::withdrawn) {
        return ejection_event::none;
    }
    const bool is_bad = result == attempt_result::failed || result == attempt_result::timed_out ||
                        result == attempt_result::answered_error;
    if (!is_bad) {
        reset_streak();
        if (state(now) != ejection_state::on_trial) {
            return ejection_event::none;
        }
        is_ejected_ = false;
        returned_at_ = now;
        return ejection_event::returned;
    }
    if (lost_ + timeouts_ + errors_ == 0) {
        streak_began_ = now;
    }
    lost_ += result == attempt_result::failed ? 1 : 0;
    timeouts_ += result == attempt_result::timed_out ? 1 : 0;
    errors_ += result == attempt_result::answered_error ? 1 : 0;
    const auto current = state(now);
    const bool ejects = current == ejection_state::on_trial ||
                        (current == ejection_state::in_use && is_outlier(service_good_at));
    if (!ejects) {
        return ejection_event::none;
    }
    eject(now);
    return ejection_event::ejected;
}

bool instance_health::is_outlier(std::optional<time_point> service_good_at) const {
    const bool others_answer = service_good_at && *service_good_at >= streak_began_;
    return lost_ >= max_lost || timeouts_ >= max_silent_timeouts ||
           (others_answer && (timeouts_ >= max_timeouts || errors_ >= max_errors));
}

void instance_health::eject(time_point now) {
    ejections_ = now - returned_at_ > good_conduct && !is_ejected_ ? 1 : ejections_ + 1;
    constexpr std::uint32_t max_doublings = 5;
    const auto time = first_ejection * (1U << std::min(ejections_ - 1, max_doublings));
    is_ejected_ = true;
    ejected_at_ = now;
    ejected_until_ = now + std::min<duration>(time, longest_ejection);
    reset_streak();
}

void instance_health::reset_streak() {
    lost_ = 0;
    timeouts_ = 0;
    errors_ = 0;
}

ejection_state instance_health::state(time_point now) const {
    if (!is_ejected_) {
        return ejection_state::in_use;
    }
    return now < ejected_until_ ? ejection_state::ejected : ejection_state::on_trial;
}

} // namespace trefoil
