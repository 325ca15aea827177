// What operators tolerate when a limit of a workspace is kept by many nodes.
#pragma once

#include <trefoil/base/time.hpp>
#include <trefoil/workspace/workspace.hpp>

namespace trefoil {

/// In any time of length `window`, all nodes together may admit up to
/// (requests_per_second * window + burst) * (1 + overshoot) + tolerance requests of a workspace.
struct quota_bounds {
    duration window = 5s;
    /// Share of the limit.
    double overshoot = 0;
    /// Requests.
    double tolerance = 0;

    friend bool operator==(const quota_bounds&, const quota_bounds&) = default;
};

/// Returns the number of requests by which the limit may be exceeded within one window.
double overshoot_of(const workspace_limit& limit, const quota_bounds& bounds);

/// Returns the depth of the token bucket of a limit: the burst and a part of the overshoot, so that
/// requests below the limit aren't refused for chance. The rest of the overshoot is left for what
/// nodes admit before they know of each other.
double bucket_depth(const workspace_limit& limit, const quota_bounds& bounds);

} // namespace trefoil
