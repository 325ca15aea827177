#include <trefoil/quota/quota_bounds.hpp>

#include <algorithm>

namespace trefoil {
namespace {

/// Part of the overshoot that is added to the burst.
constexpr double depth_part = 0.2;

} // namespace

double overshoot_of(const workspace_limit& limit, const quota_bounds& bounds) {
    return (limit.requests_per_second * to_seconds(bounds.window) + limit.burst) *
               bounds.overshoot +
           bounds.tolerance;
}

double bucket_depth(const workspace_limit& limit, const quota_bounds& bounds) {
    return std::max(1.0, limit.burst + depth_part * overshoot_of(limit, bounds));
}

} // namespace trefoil
