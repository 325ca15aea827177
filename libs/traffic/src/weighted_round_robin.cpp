#include <trefoil/traffic/weighted_round_robin.hpp>

#include <algorithm>
#include <numeric>

#include <trefoil/base/hash.hpp>

namespace trefoil {
namespace {

/// A rotation starts within its first positions, as each one that is skipped takes time.
constexpr std::uint64_t max_skipped_requests = 10'000;

} // namespace

const service_name& weighted_round_robin::next(const route& entry) {
    if (entry.services.size() == 1) {
        return entry.services.front().service;
    }
    auto& state = rotations_[entry.name];
    if (state.services != entry.services) {
        restart(state, entry);
    }
    return entry.services[advance(state)].service;
}

std::size_t weighted_round_robin::advance(rotation& state) {
    std::int64_t total = 0;
    for (std::size_t i = 0; i < state.credit.size(); ++i) {
        state.credit[i] += state.services[i].weight;
        total += state.services[i].weight;
    }
    const auto highest = std::max_element(state.credit.begin(), state.credit.end());
    *highest -= total;
    return static_cast<std::size_t>(highest - state.credit.begin());
}

void weighted_round_robin::restart(rotation& state, const route& entry) const {
    state.services = entry.services;
    state.credit.assign(entry.services.size(), 0);
    const auto total = std::accumulate(
        state.services.begin(), state.services.end(), std::uint64_t{0},
        [](std::uint64_t sum, const weighted_service& part) { return sum + part.weight; });
    const auto positions = std::min(total, max_skipped_requests);
    const auto skipped = positions == 0 ? 0 : mix_hash(seed_, stable_hash(entry.name)) % positions;
    for (std::uint64_t i = 0; i < skipped; ++i) {
        advance(state);
    }
}

} // namespace trefoil
