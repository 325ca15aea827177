#include <trefoil/traffic/fleet_retry_limiter.hpp>

#include <algorithm>
#include <numeric>

#include <trefoil/traffic/call_tree.hpp>

namespace trefoil {

std::size_t fleet_retry_limiter::rank_of(std::uint32_t priority, std::uint32_t request_bucket) {
    const auto priority_rank = std::min(priority, distinct_priorities - 1);
    const auto part = std::min(request_bucket, request_bucket_count - 1) * ranks_per_priority /
                      request_bucket_count;
    return std::size_t{priority_rank} * ranks_per_priority + part;
}

std::int64_t fleet_retry_limiter::slice_number(time_point now) const {
    return now.time_since_epoch() / slice_length();
}

fleet_retry_limiter::slice& fleet_retry_limiter::current_slice(time_point now,
                                                               const service_name& service) {
    const auto number = slice_number(now);
    auto& newest = services_[service].ring[static_cast<std::size_t>(number) % slice_count];
    if (newest.number != number) {
        newest = slice{number, 0, 0};
    }
    return newest;
}

void fleet_retry_limiter::record_request(time_point now, const service_name& service) {
    ++current_slice(now, service).requests;
}

void fleet_retry_limiter::record_upstream_retry(time_point now, const service_name& service) {
    ++current_slice(now, service).retries;
}

void fleet_retry_limiter::record_demand(time_point now, service_state& state,
                                        std::size_t rank) const {
    const auto number = slice_number(now);
    if (state.demand_slice != number) {
        state.previous_demand = state.demand_slice + 1 == number ? state.demand : demand_counts{};
        state.demand = {};
        state.demand_slice = number;
    }
    ++state.demand[rank];
}

double fleet_retry_limiter::demand_before(time_point now, const service_state& state,
                                          std::size_t rank) const {
    const auto end = static_cast<std::ptrdiff_t>(rank);
    const auto count =
        std::accumulate(state.demand.begin(), state.demand.begin() + end, 0U) +
        std::accumulate(state.previous_demand.begin(), state.previous_demand.begin() + end, 0U);
    const auto measured_time = slice_length() + now.time_since_epoch() % slice_length();
    return count * to_seconds(bound_.window) / to_seconds(measured_time);
}

bool fleet_retry_limiter::is_covered(time_point now, service_state& state, std::size_t rank,
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

bool fleet_retry_limiter::take(time_point now, const service_name& service, std::uint32_t priority,
                               std::uint32_t request_bucket) {
    auto& newest = current_slice(now, service);
    auto& state = services_[service];
    const auto rank = rank_of(priority, request_bucket);
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

void fleet_retry_limiter::refund(time_point now, const service_name& service) {
    auto& newest = current_slice(now, service);
    if (newest.retries > 0) {
        --newest.retries;
    }
}

} // namespace trefoil
