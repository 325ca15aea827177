#include "stop_step.hpp"

namespace trefoil {
namespace {

/// Minimum time for which a stopping node serves callers, since they learn of the stop from its
/// readiness endpoint.
constexpr duration min_stop_time = 2500ms;
/// A stopping node exits when no caller has sent a request for this long.
constexpr duration min_idle_time = 400ms;
/// A stopping node exits this long before it would be terminated by force.
constexpr duration stop_margin = 300ms;

} // namespace

stop_step next_stop_step(const stop_progress& progress) {
    const bool owes_nothing = progress.pending == 0 && !progress.has_unread_answers;
    const bool is_idle =
        progress.since_signal >= min_stop_time && progress.since_last_request >= min_idle_time;
    if (owes_nothing && is_idle) {
        return stop_step::exit;
    }
    const bool is_late = progress.since_signal >= progress.stop_timeout - stop_margin;
    return is_late ? stop_step::exit_at_limit : stop_step::wait;
}

} // namespace trefoil
