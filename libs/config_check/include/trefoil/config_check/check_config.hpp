// Checks a configuration by itself.
#pragma once

#include <trefoil/config_check/finding.hpp>
#include <trefoil/traffic/traffic_config.hpp>

namespace trefoil {

/// Returns what in the configuration has no effect or contradicts itself: first the routes in their
/// order, then services, workspaces and limits. All findings are warnings.
findings check_config(const traffic_config& config);

} // namespace trefoil
