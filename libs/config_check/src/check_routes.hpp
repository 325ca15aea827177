// Checks the routes of a configuration.
#pragma once

#include <trefoil/config_check/finding.hpp>
#include <trefoil/traffic/traffic_config.hpp>

namespace trefoil {

/// The place of a route.
route_place place_of(const route& entry);

/// Adds what is found at the routes, in their order.
void check_routes(const traffic_config& config, findings& found);

} // namespace trefoil
