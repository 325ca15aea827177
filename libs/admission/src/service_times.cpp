#include <trefoil/admission/service_times.hpp>

#include <cmath>

namespace trefoil {
namespace {

/// The newest sample has the weight 1 / `smoothing` in the moving average of a kind.
constexpr int smoothing = 8;
/// The same for the moving average over all kinds.
constexpr double overall_smoothing = 32;
/// Time without a new sample after which the average of a kind is halved.
constexpr duration half_life = 1s;

} // namespace

void service_times::record(time_point now, const std::string& kind, duration took) {
    auto& entry = means_.try_emplace(kind, kind_mean{took, now}).first->second;
    entry.mean += (took - entry.mean) / smoothing;
    entry.at = now;
    const auto took_us = static_cast<double>(took.count());
    mean_us_ += mean_us_ == 0 ? took_us : (took_us - mean_us_) / overall_smoothing;
}

duration service_times::expected(time_point now, const std::string& kind) const {
    const auto found = means_.find(kind);
    if (found == means_.end()) {
        return duration{0};
    }
    const auto age = to_seconds(now - found->second.at) / to_seconds(half_life);
    const auto mean = static_cast<double>(found->second.mean.count());
    return duration(static_cast<duration::rep>(mean * std::exp2(-age)));
}

} // namespace trefoil
