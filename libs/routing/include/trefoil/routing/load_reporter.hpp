// Decides which responses carry a report of the instance's load.
#pragma once

#include <optional>

#include <trefoil/base/time.hpp>
#include <trefoil/wire/call_context.hpp>

namespace trefoil {

/// Limits the rate of load reports on complete responses, independent of the number of callers.
/// Each caller receives reports in proportion to the responses that it receives, so no state per
/// caller is held. Refusals carry the load in any case.
class load_reporter {
public:
    /// Returns the load if a report is due, else nothing.
    std::optional<load_report> take(time_point now, const load_report& load) {
        if (now < next_) {
            return std::nullopt;
        }
        next_ = now + interval;
        return load;
    }

    /// Minimum time between two reports of one node.
    static constexpr duration interval = 20ms;

private:
    time_point next_;
};

} // namespace trefoil
