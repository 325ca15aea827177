// Upper bound on the weight that any admission policy can complete with a site's capacity.
#pragma once

#include <trefoil/experiment/site.hpp>

namespace trefoil {

/// Returns an upper bound on the weight that can be completed within `time`. For each service
/// alone, kinds are admitted in descending order of weight per slot time until its slots are used
/// up (the fractional knapsack of Dantzig 1957). The bound is the lowest value of all services.
/// `offered` holds the number of requests of each kind, in the site's order.
double max_completed_weight(const site& where, const slow_services& slow,
                            const std::vector<std::uint64_t>& offered, duration time);

} // namespace trefoil
