// Level of one target, told to the nodes upstream while the target is short.
#pragma once

#include <cstdint>
#include <optional>

#include <trefoil/admission/admission_level.hpp>
#include <trefoil/admission/shortage_levels.hpp>
#include <trefoil/base/ids.hpp>
#include <trefoil/base/time.hpp>
#include <trefoil/wire/call_context.hpp>

namespace trefoil {

/// Position in the queue of a gate where levels of short services decide who is let in, lower ones
/// first. What has been let in is served in order of arrival, but for the most important priority,
/// which goes ahead. Calls belong to requests on which work has been spent and which fail with any
/// of their calls; with an order by priority they would lose their place until their wait is over,
/// and requests that callers send to this target would be starved by the calls of others.
std::uint32_t shared_queue_position(std::uint32_t priority);

/// Decides from which position on requests are more than the target can do, and what the answers of
/// its node tell of that and of the services that the target calls. Answers a load in which one
/// whole request makes several calls of the short service: calls are never refused by this level,
/// since work has been spent on their request; requests that begin are.
class shortage_gate {
public:
    /// `service` is the service of the target.
    explicit shortage_gate(service_name service);

    /// Counts a call or request that arrives, whether it is admitted or refused.
    void offered(std::uint32_t shedding_position);
    /// Counts one that the target has finished.
    void finished(duration service_time);
    /// Records the state that holds from `now` on. Must be called at each change.
    void update(time_point now, const load_report& load);

    /// True if the target has room for a caller's request at this position.
    bool admits(std::uint32_t shedding_position) const;

    /// What the answer to a run tells. `spent` is its service time here, and `heard` what its own
    /// calls were told, with the sum of their service times. The answer to a caller's request tells
    /// only the time of a shortage at this target: the threshold here concerns this instance, and
    /// another may have room.
    std::optional<shortage_level> tell(time_point now, bool is_nested, duration spent,
                                       const std::optional<shortage_level>& heard) const;

    /// What answers of other nodes tell.
    shortage_levels& levels() { return levels_; }
    const shortage_levels& levels() const { return levels_; }

private:
    service_name service_;
    admission_level level_;
    shortage_levels levels_;
};

/// Adds what one call of a run was told to what its other calls were told: the lower threshold, and
/// the sum of the service times at the same service.
void add_shortage(std::optional<shortage_level>& sum, const shortage_level& told);

} // namespace trefoil
