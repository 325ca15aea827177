#include <trefoil/traffic/returning_callers.hpp>

namespace trefoil {

std::uint32_t returning_callers::shedding_rank(time_point now, const std::string& route,
                                               std::uint32_t request_bucket, duration time_left) {
    auto& longest = longest_[route];
    if (time_left >= longest.time || now - longest.seen_at > longest_time_lifetime) {
        longest = {time_left, now};
        return request_bucket;
    }
    const auto min_first_attempt_time =
        static_cast<double>(longest.time.count()) * first_attempt_fraction;
    if (static_cast<double>(time_left.count()) >= min_first_attempt_time) {
        longest.seen_at = now;
        return request_bucket;
    }
    return request_bucket / returning_divisor;
}

} // namespace trefoil
