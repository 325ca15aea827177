// How many retries the calls of one node may add to the load of a service.
#pragma once

#include <unordered_map>

#include <trefoil/base/ids.hpp>
#include <trefoil/base/time.hpp>

namespace trefoil {

/// Size of the budget of each service.
struct retry_budget_settings {
    /// Retries earned by each successful call.
    double per_success = 0.1;
    /// Retries earned by each second, so that a service that is seldom called can be retried.
    double per_second = 1.0;
    /// Retries saved up at most; a service that was not called before has as many.
    double capacity = 10.0;

    friend bool operator==(const retry_budget_settings&, const retry_budget_settings&) = default;
};

/// A token bucket for each service, filled by successes, as in Finagle's retry budgets. A retry
/// that succeeds gives back what it cost, so that a service with instances to spare can be retried
/// at any rate, while retries to one that fails everywhere stay within a fraction of what it last
/// completed, however many requests would like to retry.
class retry_budget {
public:
    explicit retry_budget(retry_budget_settings settings) : settings_(settings) {}

    /// Notes a call that the service completed; `retry` if it was paid for by spend.
    void succeeded(time_point now, const service_name& service, bool retry);

    /// Takes one retry. False if the budget is used up.
    bool spend(time_point now, const service_name& service);

private:
    struct bucket {
        double retries = 0;
        time_point filled_at;
    };

    bucket& filled(time_point now, const service_name& service);

    retry_budget_settings settings_;
    std::unordered_map<service_name, bucket> buckets_;
};

} // namespace trefoil
