// Detection of process pauses and the restrictions that apply right after them.
#pragma once

#include <optional>

#include <trefoil/base/time.hpp>

namespace trefoil {

/// Detects pauses of the process by comparing the time of each step with a heartbeat that should
/// have preceded it. After a pause, cancellations may be waiting unread, so the node first reads
/// its pending input and dispatches no call. After a long pause, it also dispatches nothing to the
/// target until the instance list is confirmed or the wait for the confirmation times out.
class pause_guard {
public:
    /// Starts the heartbeat. Must be called once.
    void start(time_point now);

    /// Must be called first in each step. Returns the length of the pause if one is detected.
    std::optional<duration> begin_step(time_point now);

    /// True while input that arrived during the pause is still being read: no call is dispatched to
    /// the target or sent to another node.
    bool is_catching_up(time_point now) const { return now < catch_up_until_; }
    time_point catch_up_until() const { return catch_up_until_; }

    /// True while no call may be dispatched to the target.
    bool is_dispatch_blocked(time_point now) const { return now < dispatch_blocked_until_; }

    /// Records that the instance list was confirmed or replaced.
    void on_instance_list_confirmed(time_point now);

    /// The time at which a call that is read now must be assumed to have arrived: while input of
    /// the pause is being read, the start of the pause.
    time_point arrival_time(time_point now) const {
        return is_catching_up(now) ? pause_start_ : now;
    }

    /// Time of the next heartbeat, or of the end of a restriction if that comes first.
    time_point next_wake(time_point now) const;

private:
    time_point last_step_;
    time_point next_heartbeat_;
    time_point pause_start_;
    time_point catch_up_until_;
    time_point dispatch_blocked_until_;
};

} // namespace trefoil
