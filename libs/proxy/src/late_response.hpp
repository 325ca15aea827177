// Watches a response that has begun and is incomplete at the timeout of its route.
#pragma once

#include <optional>

#include <trefoil/base/time.hpp>

#include "reply_relay.hpp"

namespace trefoil {

/// Decides how long a late response may continue: as long as it advances, at most until the
/// caller's deadline.
class late_response {
public:
    /// Time between two checks.
    static constexpr duration check_interval = 100ms;

    /// Returns the time until the next check, or nothing if the response must be aborted now.
    std::optional<duration> check(time_point now, const reply_relay& relay,
                                  std::optional<time_point> caller_deadline);

private:
    /// How far the response was when it was last found to have advanced, and since when.
    std::optional<relay_progress> progress_;
    time_point progress_since_;
};

} // namespace trefoil
