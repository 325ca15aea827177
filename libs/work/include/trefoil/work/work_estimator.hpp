// Expected service time of the requests of one service, by route.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <unordered_map>

#include <trefoil/base/time.hpp>

namespace trefoil {

/// Moving means of service times by route. Answers the load of requests whose service times have a
/// heavy tail: one sample moves a mean only so far. A new route begins with the mean over the other
/// routes of the service and an unused one returns to it. Memory is bounded; routes beyond the
/// bound share the mean over all.
class work_estimator {
public:
    /// Records the service time of a successful request.
    void record(time_point now, const std::string& route, duration took);

    /// Expected service time of a request of the route; 0 before the first sample of any route.
    duration expected(time_point now, const std::string& route) const;

    /// Mean over the requests of all routes; 0 before the first.
    duration mean() const;

    /// Time of the latest sample of the route; empty if there is none.
    std::optional<time_point> last_sample(const std::string& route) const;

    /// Calls the function with the name and the expected service time of each known route.
    template <class Visitor>
    void visit(time_point now, Visitor visitor) const {
        for (const auto& [route, known] : routes_) {
            visitor(route, expected(now, route));
        }
    }

    static constexpr std::size_t max_routes = 256;

private:
    struct estimate {
        double mean_us = 0;
        /// Number of samples behind the mean, halved by each half-life.
        double weight = 0;
        time_point at;
    };

    static double aged_weight(time_point now, const estimate& known);
    static void add(time_point now, estimate& known, double sample_us);

    std::unordered_map<std::string, estimate> routes_;
    estimate all_;
};

} // namespace trefoil
