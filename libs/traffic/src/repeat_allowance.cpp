#include <trefoil/traffic/repeat_allowance.hpp>

#include <algorithm>
#include <numeric>

#include <trefoil/traffic/call_tree.hpp>

namespace trefoil {

std::size_t repeat_allowance::rank_of(std::uint32_t priority, std::uint32_t share) {
    const auto ranked = std::min(priority, ranked_priorities - 1);
    const auto part = std::min(share, share_count - 1) * parts_per_priority / share_count;
    return std::size_t{ranked} * parts_per_priority + part;
}

std::int64_t repeat_allowance::number_of(time_point now) const {
    return now.time_since_epoch() / slice_length();
}

repeat_allowance::slice& repeat_allowance::present(time_point now, const service_name& service) {
    const auto number = number_of(now);
    auto& at = services_[service].ring[static_cast<std::size_t>(number) % slices];
    if (at.number != number) {
        at = slice{number, 0, 0};
    }
    return at;
}

void repeat_allowance::requested(time_point now, const service_name& service) {
    ++present(now, service).requests;
}

void repeat_allowance::repeated_above(time_point now, const service_name& service) {
    ++present(now, service).repeats;
}

void repeat_allowance::wish(time_point now, service_state& at, std::size_t rank) const {
    const auto number = number_of(now);
    if (at.wished_in != number) {
        at.wished_before = at.wished_in + 1 == number ? at.wished : wishes{};
        at.wished = {};
        at.wished_in = number;
    }
    ++at.wished[rank];
}

double repeat_allowance::wanted_before(time_point now, const service_state& at,
                                       std::size_t rank) const {
    const auto end = static_cast<std::ptrdiff_t>(rank);
    const auto count =
        std::accumulate(at.wished.begin(), at.wished.begin() + end, 0U) +
        std::accumulate(at.wished_before.begin(), at.wished_before.begin() + end, 0U);
    const auto counted_for = slice_length() + now.time_since_epoch() % slice_length();
    return count * to_seconds(bound_.window) / to_seconds(counted_for);
}

bool repeat_allowance::fits(time_point now, service_state& at, std::size_t rank,
                            double planned) const {
    const double before = wanted_before(now, at, rank);
    const double with = wanted_before(now, at, rank + 1);
    if (with <= planned) {
        return true;
    }
    if (before >= planned) {
        return false;
    }
    at.credit += (planned - before) / (with - before);
    if (at.credit < 1) {
        return false;
    }
    at.credit -= 1;
    return true;
}

bool repeat_allowance::take(time_point now, const service_name& service, std::uint32_t priority,
                            std::uint32_t share) {
    auto& newest = present(now, service);
    auto& state = services_[service];
    const auto rank = rank_of(priority, share);
    wish(now, state, rank);
    std::uint64_t requests = 0;
    std::uint64_t repeats = 0;
    for (const auto& at : state.ring) {
        if (newest.number - at.number < static_cast<std::int64_t>(slices)) {
            requests += at.requests;
            repeats += at.repeats;
        }
    }
    const double allowed = used_share * (bound_.ratio * static_cast<double>(requests) +
                                         bound_.slack / static_cast<double>(nodes_));
    const auto used = static_cast<double>(repeats);
    const bool is_short = used + 1 > allowed;
    const bool is_open = used < open_share * allowed;
    if (is_short || !(is_open || fits(now, state, rank, planned_share * allowed))) {
        return false;
    }
    ++newest.repeats;
    return true;
}

void repeat_allowance::give_back(time_point now, const service_name& service) {
    auto& newest = present(now, service);
    if (newest.repeats > 0) {
        --newest.repeats;
    }
}

} // namespace trefoil
