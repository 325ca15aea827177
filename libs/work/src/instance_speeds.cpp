#include <trefoil/work/instance_speeds.hpp>

#include <algorithm>
#include <cmath>

namespace trefoil {
namespace {

/// A sample counts as at most this ratio.
constexpr double max_ratio = 8;
/// The newest sample has at least the weight 1 / (`max_weight` + 1).
constexpr double max_weight = 31;
constexpr double mean_smoothing = 256;
/// Short, since an instance that is believed to be slow gets few requests that could show
/// otherwise.
constexpr duration half_life = 3s;
constexpr duration lifetime = 60s;
/// Bounds of the speed.
constexpr double min_speed = 0.05;
constexpr double max_speed = 4;
/// Samples that the initial speed of 1 counts as.
constexpr double initial_weight = 4;

} // namespace

double instance_speeds::aged_weight(time_point now, const slowness& known) {
    return known.weight * std::exp2(-to_seconds(now - known.at) / to_seconds(half_life));
}

void instance_speeds::record(time_point now, const instance_id& instance, double ratio) {
    auto& known =
        instances_.try_emplace(instance, slowness{mean_ratio_, initial_weight, now}).first->second;
    const double limited = std::min(ratio, max_ratio);
    const double weight = std::clamp(aged_weight(now, known), 1.0, max_weight);
    known = {known.ratio + (limited - known.ratio) / (weight + 1), weight + 1, now};
    mean_ratio_ += (limited - mean_ratio_) / mean_smoothing;
}

double instance_speeds::speed(time_point now, const instance_id& instance) const {
    const auto found = instances_.find(instance);
    if (found == instances_.end() || mean_ratio_ <= 0) {
        return 1;
    }
    const double share = std::min(aged_weight(now, found->second) / initial_weight, 1.0);
    const double relative = found->second.ratio / mean_ratio_;
    return std::clamp(1 / (1 + (relative - 1) * share), min_speed, max_speed);
}

void instance_speeds::evict_unused(time_point now) {
    std::erase_if(instances_, [&](const auto& item) { return now - item.second.at > lifetime; });
}

} // namespace trefoil
