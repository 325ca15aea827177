// The best that any admission could do with a site's capacity.
#pragma once

#include <trefoil/experiment/site.hpp>

namespace trefoil {

/// Upper bound on the weight that can be completed in a time: for each service alone, the kinds
/// are filled in by weight per slot time until its slots are used up (the fractional knapsack of
/// Dantzig 1957); the bound is the lowest of the services' values. `offered` holds the number of
/// requests of each kind in the site's order.
double best_weight(const site& where, const slow_services& slow,
                   const std::vector<std::uint64_t>& offered, duration time);

} // namespace trefoil
