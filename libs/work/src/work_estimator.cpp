#include <trefoil/work/work_estimator.hpp>

#include <algorithm>
#include <cmath>

namespace trefoil {
namespace {

/// A sample counts as at most this multiple of the mean so far.
constexpr double max_sample_ratio = 4;
/// The newest sample has at least the weight 1 / (`max_weight` + 1).
constexpr double max_weight = 31;
/// Time in which the weight of the samples so far halves.
constexpr duration half_life = 10s;

} // namespace

double work_estimator::aged_weight(time_point now, const estimate& known) {
    return known.weight * std::exp2(-to_seconds(now - known.at) / to_seconds(half_life));
}

void work_estimator::add(time_point now, estimate& known, double sample_us) {
    if (known.mean_us <= 0) {
        known = {sample_us, 1, now};
        return;
    }
    const double weight = std::clamp(aged_weight(now, known), 1.0, max_weight);
    const double limited = std::min(sample_us, known.mean_us * max_sample_ratio);
    known = {known.mean_us + (limited - known.mean_us) / (weight + 1), weight + 1, now};
}

void work_estimator::record(time_point now, const std::string& route, duration took) {
    const auto sample_us = std::max(static_cast<double>(took.count()), 1.0);
    const auto begin_us = static_cast<double>(expected(now, route).count());
    add(now, all_, sample_us);
    auto found = routes_.find(route);
    if (found == routes_.end()) {
        if (routes_.size() >= max_routes) {
            return;
        }
        found = routes_.emplace(route, estimate{begin_us, 1, now}).first;
    }
    found->second.mean_us = begin_us;
    add(now, found->second, sample_us);
}

duration work_estimator::expected(time_point now, const std::string& route) const {
    const auto found = routes_.find(route);
    if (found == routes_.end()) {
        return mean();
    }
    const double share = std::min(aged_weight(now, found->second), 1.0);
    const double expected_us = all_.mean_us + (found->second.mean_us - all_.mean_us) * share;
    return duration(static_cast<duration::rep>(expected_us));
}

duration work_estimator::mean() const {
    return duration(static_cast<duration::rep>(all_.mean_us));
}

std::optional<time_point> work_estimator::last_sample(const std::string& route) const {
    const auto found = routes_.find(route);
    return found == routes_.end() ? std::nullopt : std::optional(found->second.at);
}

} // namespace trefoil
