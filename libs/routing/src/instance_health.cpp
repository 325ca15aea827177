#include <trefoil/routing/instance_health.hpp>

#include <algorithm>

namespace trefoil {
namespace {

/// Lost or refused connections in a row that eject an instance.
constexpr std::uint32_t max_connection_failures = 3;
/// Timeouts in a row that eject an instance while others of its service answer successfully.
constexpr std::uint32_t max_timeouts = 3;
/// Timeouts in a row that eject an instance in any case, since it did not even send a refusal.
constexpr std::uint32_t max_unconditional_timeouts = 10;
/// Error responses in a row that eject an instance while others of its service answer successfully.
constexpr std::uint32_t max_errors = 10;
/// Duration of the first ejection; each further one doubles it.
constexpr duration base_ejection_time = 1s;
constexpr duration max_ejection_time = 30s;
/// After this time in use, the next ejection has the shortest duration again.
constexpr duration backoff_reset_time = 60s;

} // namespace

ejection_event instance_health::note(time_point now, attempt_result result,
                                     std::optional<time_point> last_service_success) {
    if (result == attempt_result::cancelled) {
        return ejection_event::none;
    }
    const bool is_failure = result == attempt_result::failed ||
                            result == attempt_result::timed_out ||
                            result == attempt_result::answered_error;
    if (!is_failure) {
        reset_streak();
        if (state(now) != ejection_state::on_trial) {
            return ejection_event::none;
        }
        is_ejected_ = false;
        returned_at_ = now;
        return ejection_event::returned;
    }
    if (connection_failures_ + timeouts_ + errors_ == 0) {
        streak_start_ = now;
    }
    connection_failures_ += result == attempt_result::failed ? 1 : 0;
    timeouts_ += result == attempt_result::timed_out ? 1 : 0;
    errors_ += result == attempt_result::answered_error ? 1 : 0;
    const auto current = state(now);
    const bool should_eject =
        current == ejection_state::on_trial ||
        (current == ejection_state::in_use && is_outlier(last_service_success));
    if (!should_eject) {
        return ejection_event::none;
    }
    eject(now);
    return ejection_event::ejected;
}

bool instance_health::is_outlier(std::optional<time_point> last_service_success) const {
    const bool others_succeed = last_service_success && *last_service_success >= streak_start_;
    return connection_failures_ >= max_connection_failures ||
           timeouts_ >= max_unconditional_timeouts ||
           (others_succeed && (timeouts_ >= max_timeouts || errors_ >= max_errors));
}

void instance_health::eject(time_point now) {
    ejections_ = now - returned_at_ > backoff_reset_time && !is_ejected_ ? 1 : ejections_ + 1;
    constexpr std::uint32_t max_doublings = 5;
    const auto ejection_time = base_ejection_time * (1U << std::min(ejections_ - 1, max_doublings));
    is_ejected_ = true;
    ejected_at_ = now;
    ejected_until_ = now + std::min<duration>(ejection_time, max_ejection_time);
    reset_streak();
}

void instance_health::reset_streak() {
    connection_failures_ = 0;
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
