#include <trefoil/admission/concurrency_limit.hpp>

#include <algorithm>

namespace trefoil {
namespace {

/// Factor by which an overload signal reduces the limit.
constexpr double decrease_factor = 0.9;
/// Overload signals within this time after a reduction are attributed to the same cause.
constexpr duration reduction_interval = 100ms;
/// Share of the highest limit with which a restarted target begins.
constexpr double slow_start_share = 0.125;
/// Outside slow start, the limit rises only while at least this share of it is in use.
constexpr double min_utilization = 0.8;

} // namespace

concurrency_limit::concurrency_limit(std::uint32_t highest, bool is_adaptive, bool has_slow_start)
    : highest_(std::max<std::uint32_t>(highest, 1)), is_adaptive_(is_adaptive),
      has_slow_start_(has_slow_start), limit_(highest_) {}

std::uint32_t concurrency_limit::current() const {
    return static_cast<std::uint32_t>(limit_);
}

void concurrency_limit::succeeded(std::uint32_t in_flight) {
    const bool is_slow_start = limit_ < slow_start_end_;
    if (!is_slow_start && in_flight < limit_ * min_utilization) {
        return;
    }
    limit_ += is_slow_start ? 1.0 : 1.0 / limit_;
    limit_ = std::min(limit_, highest_);
}

void concurrency_limit::overloaded(time_point now) {
    if (!is_adaptive_ || now - reduced_at_ < reduction_interval) {
        return;
    }
    reduced_at_ = now;
    limit_ = std::max(limit_ * decrease_factor, 1.0);
    slow_start_end_ = limit_;
}

void concurrency_limit::set_highest(std::uint32_t highest) {
    const bool was_at_highest = limit_ >= highest_;
    highest_ = std::max<std::uint32_t>(highest, 1);
    limit_ = was_at_highest ? highest_ : std::min(limit_, highest_);
}

void concurrency_limit::restarted() {
    if (!has_slow_start_) {
        return;
    }
    slow_start_end_ = highest_;
    limit_ = std::max(highest_ * slow_start_share, 1.0);
}

} // namespace trefoil
