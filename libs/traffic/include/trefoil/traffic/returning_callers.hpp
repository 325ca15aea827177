// Detects callers that retry after a refusal.
#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>

#include <trefoil/base/time.hpp>

namespace trefoil {

/// Gives callers that retry during an overload precedence over new callers of the same priority,
/// since they have waited already and a second refusal would mostly be final. A retrying caller is
/// detected by its remaining time, which is less than that of first attempts on its route.
class returning_callers {
public:
    /// Returns the position of a request in the shedding order of its priority, from its bucket and
    /// the time for which its caller still waits. Lower positions are shed later.
    std::uint32_t shedding_rank(time_point now, const std::string& route,
                                std::uint32_t request_bucket, duration time_left);

private:
    /// A request with less than this fraction of the longest remaining time is a retry.
    static constexpr double first_attempt_fraction = 0.97;
    /// Retrying callers share the first 1/returning_divisor of all positions.
    static constexpr std::uint32_t returning_divisor = 4;
    /// The longest remaining time expires after this time if it is not seen again.
    static constexpr duration longest_time_lifetime = 10s;

    struct longest_time {
        duration time{0};
        time_point seen_at;
    };

    std::unordered_map<std::string, longest_time> longest_;
};

} // namespace trefoil
