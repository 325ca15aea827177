// When a stopping node exits.
#pragma once

#include <cstddef>
#include <cstdint>

#include <trefoil/base/time.hpp>

namespace trefoil {

enum class stop_step : std::uint8_t {
    wait,
    /// Nothing is owed to callers or other nodes any more.
    exit,
    /// The node would soon be terminated by force.
    exit_at_limit,
};

/// What a stopping node owes, and how long it has been stopping.
struct stop_progress {
    /// Requests without a complete answer.
    std::size_t pending = 0;
    /// Answers that are complete, but not acknowledged by their receivers. Exiting would cut them.
    bool has_unread_answers = false;
    duration since_signal{0};
    duration since_last_request{0};
    /// Time after the signal at which the node is terminated by force.
    duration stop_timeout{0};
};

stop_step next_stop_step(const stop_progress& progress);

} // namespace trefoil
