// Divides the requests of a route among its services by weight.
#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include <trefoil/traffic/traffic_config.hpp>

namespace trefoil {

/// Smooth weighted round robin: of any sum-of-weights consecutive requests each service gets
/// exactly its weight, evenly spread. Each route has its own rotation, which restarts when the
/// route's services change. The split does not depend on load: a service without capacity refuses
/// its part of the requests instead of shifting it to the other services.
class weighted_round_robin {
public:
    /// Nodes with different seeds start at different positions, so that the requests of many nodes
    /// with low rates are divided by the weights too.
    explicit weighted_round_robin(std::uint64_t seed) : seed_(seed) {}

    /// Returns the service for the next request of the route.
    const service_name& next(const route& entry);

private:
    struct rotation {
        std::vector<weighted_service> services;
        std::vector<std::int64_t> credit;
    };

    /// Returns the index of the next service.
    static std::size_t advance(rotation& state);
    /// Resets the rotation to the services of the route, at the position given by the seed.
    void restart(rotation& state, const route& entry) const;

    std::uint64_t seed_;
    std::unordered_map<std::string, rotation> rotations_;
};

} // namespace trefoil
