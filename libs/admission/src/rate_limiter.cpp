#include <trefoil/admission/rate_limiter.hpp>

#include <algorithm>

namespace trefoil {

void rate_limiter::set_rate(std::optional<double> calls_per_second) {
    rate_ = calls_per_second ? std::optional(std::max(*calls_per_second, min_rate)) : std::nullopt;
}

duration rate_limiter::interval() const {
    return from_seconds(1.0 / *rate_);
}

time_point rate_limiter::next_start() const {
    return rate_ ? even_until_ - burst_time : time_point{};
}

void rate_limiter::record_start(time_point now) {
    if (rate_) {
        even_until_ = std::max(even_until_, now) + interval();
    }
}

} // namespace trefoil
