#include <trefoil/retry/retry_budget.hpp>

#include <algorithm>

namespace trefoil {

void retry_budget::succeeded(time_point now, const service_name& service, bool retry) {
    auto& budget = refill(now, service);
    const double earned = settings_.per_success + (retry ? 1 : 0);
    budget.retries = std::min(settings_.capacity, budget.retries + earned);
}

bool retry_budget::spend(time_point now, const service_name& service) {
    auto& budget = refill(now, service);
    if (budget.retries < 1) {
        return false;
    }
    budget.retries -= 1;
    return true;
}

retry_budget::bucket& retry_budget::refill(time_point now, const service_name& service) {
    const auto [at, is_new] = buckets_.try_emplace(service, bucket{settings_.capacity, now});
    auto& budget = at->second;
    const double earned = settings_.per_second * to_seconds(now - budget.refilled_at);
    budget.retries = std::min(settings_.capacity, budget.retries + earned);
    budget.refilled_at = now;
    return budget;
}

} // namespace trefoil
