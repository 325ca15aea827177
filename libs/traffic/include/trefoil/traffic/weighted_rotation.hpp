// Shares the requests of a route among its services.
#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

#include <trefoil/traffic/traffic_config.hpp>

namespace trefoil {

/// Smooth weighted round robin: over any sum-of-weights requests each service gets exactly its
/// weight, evenly spread. Each route has a rotation of its own that starts again when the route's
/// services change. Answers the load of split routes: a part without room refuses its share and
/// does not push it onto the other part.
class weighted_rotation {
public:
    /// `seed` lets nodes begin at different places, so that low rates add up to the weights too.
    explicit weighted_rotation(std::uint64_t seed) : seed_(seed) {}

    /// The service of the next request on the route.
    const service_name& next(const route& entry);

private:
    struct rotation {
        std::vector<weighted_service> services;
        std::vector<std::int64_t> credit;
    };

    static std::size_t advance(rotation& at);
    void restart(rotation& at, const route& entry) const;

    std::uint64_t seed_;
    std::unordered_map<std::string, rotation> rotations_;
};

} // namespace trefoil
