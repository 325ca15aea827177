// Says which answers carry a report of the instance's load.
#pragma once

#include <optional>

#include <trefoil/base/time.hpp>
#include <trefoil/wire/call_context.hpp>

namespace trefoil {

/// Spaces load reports on complete answers evenly in time, whatever the number of callers: each
/// caller gets its share by the answers it receives, and no state a caller is held. Refusals carry
/// the load in any case.
class load_reporter {
public:
    /// The load if a report is due, else nothing.
    std::optional<load_report> take(time_point now, const load_report& load) {
        if (now < next_) {
            return std::nullopt;
        }
        next_ = now + interval;
        return load;
    }

    /// Least time between two reports of one node.
    static constexpr duration interval = 20ms;

private:
    time_point next_;
};

} // namespace trefoil
