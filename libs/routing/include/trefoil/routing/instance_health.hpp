// What the calls of one node show of an instance's health.
#pragma once

#include <cstdint>
#include <optional>

#include <trefoil/base/time.hpp>

namespace trefoil {

/// How an attempt at an instance ended, as far as routing is concerned.
enum class attempt_result : std::uint8_t {
    /// A complete answer of the target.
    answered,
    /// A complete answer that reports a fault of the target.
    answered_error,
    /// Refused because of load.
    refused_load,
    /// Refused because the instance is leaving.
    refused_leaving,
    /// Refused for a reason that lies in the request.
    refused_request,
    /// No connection, or a lost connection.
    failed,
    /// No answer in time.
    timed_out,
    /// Given up by the sender; says nothing of the instance.
    withdrawn,
};

/// Whether calls may be sent to an instance.
enum class ejection_state : std::uint8_t {
    in_use,
    ejected,
    /// The ejection time has passed; one call at a time decides.
    on_trial,
};

/// A change of state that is worth a log record.
enum class ejection_event : std::uint8_t { none, ejected, returned };

/// Consecutive-failure outlier detection. Refusals show that the instance lives, so overload alone
/// never ejects it. Timeouts and error answers count less than lost connections, since a fault
/// further down the chain causes them at every instance: they weigh in full only if another
/// instance of the service answers well meanwhile.
class instance_health {
public:
    /// Takes the end of an attempt in. `service_good_at` is when any instance of the service last
    /// answered well.
    ejection_event note(time_point now, attempt_result result,
                        std::optional<time_point> service_good_at);

    ejection_state state(time_point now) const;

    /// When the present ejection began; only meaningful unless the state is in_use.
    time_point ejected_at() const { return ejected_at_; }
    time_point ejected_until() const { return ejected_until_; }

private:
    bool is_outlier(std::optional<time_point> service_good_at) const;
    void eject(time_point now);
    void reset_streak();

    std::uint32_t lost_ = 0;
    std::uint32_t timeouts_ = 0;
    std::uint32_t errors_ = 0;
    time_point streak_began_;
    bool is_ejected_ = false;
    time_point ejected_at_;
    time_point ejected_until_;
    time_point returned_at_;
    std::uint32_t ejections_ = 0;
};

} // namespace trefoil
