// Estimates of the service time of calls by kind.
#pragma once

#include <string>
#include <unordered_map>

#include <trefoil/base/time.hpp>

namespace trefoil {

/// Keeps moving averages of the service times of successful calls by kind. The average of a kind
/// decays while no call of it succeeds, so that a kind whose calls are all refused for their
/// deadline is tried again.
class service_times {
public:
    /// Records the service time of a successful call.
    void record(time_point now, const std::string& kind, duration took);

    /// Expected service time of a call of the kind. Zero for an unknown kind; approaches zero
    /// without further successful calls.
    duration expected(time_point now, const std::string& kind) const;

    /// Moving average over the calls of all kinds; zero before the first.
    duration mean() const { return duration(static_cast<duration::rep>(mean_us_)); }

private:
    struct kind_mean {
        duration mean{0};
        time_point at;
    };

    std::unordered_map<std::string, kind_mean> means_;
    double mean_us_ = 0;
};

} // namespace trefoil
