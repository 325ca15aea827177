// How long calls of each kind take at a target.
#pragma once

#include <string>
#include <unordered_map>

#include <trefoil/base/time.hpp>

namespace trefoil {

/// Running means of recent service times by kind. A mean loses weight while no call of its kind
/// ends well, so that a kind whose calls are all refused for their deadline is tried again.
class service_times {
public:
    void record(time_point now, const std::string& kind, duration took);

    /// The time that a call of the kind is expected to take; zero for a kind that has not been
    /// seen lately.
    duration expected(time_point now, const std::string& kind) const;

    /// The mean over the recent calls of all kinds; zero before the first.
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
