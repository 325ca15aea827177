#include <trefoil/traffic/repeat_allowance.hpp>

#include <algorithm>
#include <numeric>

#include <trefoil/traffic/call_tree.hpp>

namespace trefoil {

std::size_t repeat_allowance::rank_of(std::uint32_t priority, std::uint32_t share) {
    const auto priority_rank = std::min(priority, distinct_priorities - 1);
    const auto part = std::min(share, share_count - 1) * ranks_per_priority / share_count;
    return std::size_t{priority_rank} * ranks_per_priority + part;
}

std::int64_t repeat_allowance::slice_number(time_point now) const {
    return now.time_since_epoch() / slice_length();
}

repeat_allowance::slice& repeat_allowance::current_slice(time_point now,
                                                         const service_name& service) {
    const auto number = slice_number(now);
    auto& newest = services_[service].ring[static_cast<std::size_t>(number) % slice_count];
    if (newest.number != number) {
        newest = slice{number, 0, 0};
    }
    return newest;
}

void repeat_allowance::requested(time_point now, const service_name& service) {
    ++current_slice(now, service).requests;
}

void repeat_allowance::repeated_above(time_point now, const service_name& service) {
    ++current_slice(now, service).retries;
}

void repeat_allowance::record_demand(time_point now, service_state& state, std::size_t rank) const {
    const auto number = slice_number(now);
    if (state.demand_slice != number) {
        state.previous_demand = state.demand_slice + 1 == number ? state.demand : demand_counts{};
        state.demand = {};
        state.demand_slice = number;
    }
    ++state.demand[rank];
}

double repeat_allowance::demand_before(time_point now, const service_state& state,
                                       std::size_t rank) const {
    const auto end = static_cast<std::ptrdiff_t>(rank);
    const auto count =
        std::accumulate(state.demand.begin(), state.demand.begin() + end, 0U) +
        std::accumulate(state.previous_demand.begin(), state.previous_demand.begin() + end, 0U);
    const auto measured_time = slice_length() + now.time_since_epoch() % slice_length();
    return count * to_seconds(bound_.window) / to_seconds(measured_time);
}

bool repeat_allowance::is_covered(time_point now, service_state& state, std::size_t rank,
                                  double planned) const {
    const double preceding = demand_before(now, state, rank);
    const double including = demand_before(now, state, rank + 1);
    if (including <= planned) {
        return true;
    }
    if (preceding >= planned) {
        return false;
    }
    state.credit += (planned - preceding) / (including - preceding);
    if (state.credit < 1) {
        return false;
    }
    state.credit -= 1;
    return true;
}

bool repeat_allowance::take(time_point now, const service_name& service, std::uint32_t priority,
                            std::uint32_t share) {
    auto& newest = current_slice(now, service);
    auto& state = services_[service];
    const auto rank = rank_of(priority, share);
    record_demand(now, state, rank);
    std::uint64_t requests = 0;
    std::uint64_t retries = 0;
    for (const auto& entry : state.ring) {
        if (newest.number - entry.number < static_cast<std::int64_t>(slice_count)) {
            requests += entry.requests;
            retries += entry.retries;
        }
    }
    const double allowed = used_fraction * (bound_.ratio * static_cast<double>(requests) +
                                            bound_.slack / static_cast<double>(nodes_));
    const auto used = static_cast<double>(retries);
    const bool is_exhausted = used + 1 > allowed;
    const bool is_unrestricted = used < unranked_fraction * allowed;
    if (is_exhausted ||
        !(is_unrestricted || is_covered(now, state, rank, planned_fraction * allowed))) {
        return false;
    }
    ++newest.retries;
    return true;
}

void repeat_allowance::give_back(time_point now, const service_name& service) {
    auto& newest = current_slice(now, service);
    if (newest.retries > 0) {
        --newest.retries;
    }
}

} // namespace trefoil
