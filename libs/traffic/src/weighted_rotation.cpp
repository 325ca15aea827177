#include <trefoil/traffic/weighted_rotation.hpp>

#include <algorithm>
#include <numeric>

#include <trefoil/base/hash.hpp>

namespace trefoil {

const service_name& weighted_rotation::next(const route& entry) {
    if (entry.services.size() == 1) {
        return entry.services.front().service;
    }
    auto& at = rotations_[entry.name];
    if (at.services != entry.services) {
        restart(at, entry);
    }
    return entry.services[advance(at)].service;
}

std::size_t weighted_rotation::advance(rotation& at) {
    std::int64_t total = 0;
    for (std::size_t i = 0; i < at.credit.size(); ++i) {
        at.credit[i] += at.services[i].weight;
        total += at.services[i].weight;
    }
    const auto highest = std::max_element(at.credit.begin(), at.credit.end());
    *highest -= total;
    return static_cast<std::size_t>(highest - at.credit.begin());
}

void weighted_rotation::restart(rotation& at, const route& entry) const {
    at.services = entry.services;
    at.credit.assign(entry.services.size(), 0);
    const auto total = std::accumulate(
        at.services.begin(), at.services.end(), std::uint64_t{0},
        [](std::uint64_t sum, const weighted_service& part) { return sum + part.weight; });
    const auto skipped = total == 0 ? 0 : mix_hash(seed_, stable_hash(entry.name)) % total;
    for (std::uint64_t i = 0; i < skipped; ++i) {
        advance(at);
    }
}

} // namespace trefoil
