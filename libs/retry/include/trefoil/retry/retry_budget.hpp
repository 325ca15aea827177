// Limits the retries that the calls of one node may add to the load of a service.
#pragma once

#include <unordered_map>

#include <trefoil/base/ids.hpp>
#include <trefoil/base/time.hpp>

namespace trefoil {

/// Parameters of the retry budget of each service.
struct retry_budget_settings {
    /// Retries added by each successful call.
    double per_success = 0.1;
    /// Retries added per second, so that calls to a rarely called service can be retried.
    double per_second = 1.0;
    /// Maximum and initial number of retries of a service.
    double capacity = 10.0;

    friend bool operator==(const retry_budget_settings&, const retry_budget_settings&) = default;
};

/// Token bucket for each service, filled by successes as in Finagle's retry budgets. A retry that
/// succeeds refunds its token, so calls to a service with spare instances can be retried at any
/// rate, while retries to a service that fails at all instances stay within a fraction of the calls
/// that it last completed, regardless of the number of failing requests.
class retry_budget {
public:
    explicit retry_budget(retry_budget_settings settings) : settings_(settings) {}

    /// Records a call that the service completed; `retry` is true if spend() was called for it.
    void succeeded(time_point now, const service_name& service, bool retry);

    /// Takes one retry. Returns false if the budget is exhausted.
    bool spend(time_point now, const service_name& service);

private:
    struct bucket {
        double retries = 0;
        time_point refilled_at;
    };

    bucket& refill(time_point now, const service_name& service);

    retry_budget_settings settings_;
    std::unordered_map<service_name, bucket> buckets_;
};

} // namespace trefoil
