// Notices that the process stood still, and what may not be done right after.
#pragma once

#include <optional>

#include <trefoil/base/time.hpp>

namespace trefoil {

/// Compares the time of each step with a heartbeat that should have come before it. After a gap
/// the node first reads what was sent to it meanwhile, cancels above all, and hands nothing on.
/// After a long gap nothing is handed to the target until the list of instances is confirmed, or
/// nobody answers.
class pause_guard {
public:
    /// Begins; called once.
    void start(time_point now);

    /// Called first in each step. The length of the gap if there was one.
    std::optional<duration> enter_step(time_point now);

    /// True while what was sent during the gap is still being read: no call is handed to the
    /// target or sent to another node.
    bool is_reading(time_point now) const { return now < reading_until_; }
    time_point reading_until() const { return reading_until_; }

    /// True while no call is handed to the target.
    bool holds_hand_offs(time_point now) const { return now < holding_until_; }

    /// The list of instances was confirmed or replaced.
    void list_confirmed(time_point now);

    /// When a call that is read now has to be assumed to have arrived.
    time_point arrival(time_point now) const { return is_reading(now) ? gap_began_ : now; }

    /// The next heartbeat, or the end of a hold.
    time_point next_wake(time_point now) const;

private:
    time_point last_step_;
    time_point beat_;
    time_point gap_began_;
    time_point reading_until_;
    time_point holding_until_;
};

} // namespace trefoil
