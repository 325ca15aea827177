// Health of an instance, judged by the calls that one node sends to it.
#pragma once

#include <cstdint>
#include <optional>

#include <trefoil/base/time.hpp>

namespace trefoil {

/// Result of an attempt at an instance, as far as routing is concerned.
enum class attempt_result : std::uint8_t {
    /// A complete response of the target.
    answered,
    /// A complete response that reports a fault of the target.
    answered_error,
    /// Refused because of load.
    refused_load,
    /// Refused because the instance is leaving.
    refused_leaving,
    /// Refused for a reason that concerns only the request.
    refused_request,
    /// No connection, or a lost connection.
    failed,
    /// No response before the timeout.
    timed_out,
    /// Cancelled by the sender; carries no information about the instance.
    cancelled,
};

/// Whether calls may be sent to an instance.
enum class ejection_state : std::uint8_t {
    in_use,
    ejected,
    /// The ejection time has passed; one trial call at a time is allowed and decides on the return.
    on_trial,
};

/// A change of the ejection state that is logged.
enum class ejection_event : std::uint8_t { none, ejected, returned };

/// Outlier detection by consecutive failures. A refusal shows that the instance is alive, so
/// overload alone never ejects it. Timeouts and error responses count less than lost connections,
/// since a downstream fault causes them at every instance: they count in full only if another
/// instance of the service has answered successfully since the first failure in a row.
class instance_health {
public:
    /// Records the result of an attempt. `last_service_success` is the time of the last successful
    /// answer of any instance of the service.
    ejection_event note(time_point now, attempt_result result,
                        std::optional<time_point> last_service_success);

    /// Returns whether calls may be sent to the instance.
    ejection_state state(time_point now) const;

    /// Start of the current ejection; not meaningful if the state is in_use.
    time_point ejected_at() const { return ejected_at_; }
    /// End of the current ejection, when trial calls are allowed; not meaningful if the state is
    /// in_use.
    time_point ejected_until() const { return ejected_until_; }

private:
    /// True if the failures in a row suffice for an ejection.
    bool is_outlier(std::optional<time_point> last_service_success) const;
    void eject(time_point now);
    void reset_streak();

    /// Failures in a row, by kind.
    std::uint32_t connection_failures_ = 0;
    std::uint32_t timeouts_ = 0;
    std::uint32_t errors_ = 0;
    time_point streak_start_;
    bool is_ejected_ = false;
    time_point ejected_at_;
    time_point ejected_until_;
    time_point returned_at_;
    /// Ejections since the last backoff reset; each doubles the ejection time.
    std::uint32_t ejections_ = 0;
};

} // namespace trefoil
