#include <trefoil/traffic/repeat_allowance.hpp>

namespace trefoil {

std::int64_t repeat_allowance::number_of(time_point now) const {
    return now.time_since_epoch() / (bound_.window / static_cast<int>(slices));
}

repeat_allowance::slice& repeat_allowance::present(time_point now, const service_name& service) {
    const auto number = number_of(now);
    auto& at = services_[service][static_cast<std::size_t>(number) % slices];
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

bool repeat_allowance::take(time_point now, const service_name& service) {
    auto& newest = present(now, service);
    std::uint64_t requests = 0;
    std::uint64_t repeats = 0;
    for (const auto& at : services_[service]) {
        if (newest.number - at.number < static_cast<std::int64_t>(slices)) {
            requests += at.requests;
            repeats += at.repeats;
        }
    }
    const double allowed = used_share * (bound_.ratio * static_cast<double>(requests) +
                                         bound_.slack / static_cast<double>(nodes_));
    if (static_cast<double>(repeats) + 1 > allowed) {
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
