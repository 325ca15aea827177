// Compares the routes of two configurations.
#pragma once

#include <trefoil/config_check/finding.hpp>
#include <trefoil/traffic/traffic_config.hpp>

namespace trefoil {

/// Adds the differences between the routes, first of those in `after`, then of removed ones.
void compare_routes(const traffic_config& before, const traffic_config& after, findings& found);

} // namespace trefoil
