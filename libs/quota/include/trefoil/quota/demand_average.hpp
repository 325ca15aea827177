// Smoothed number of requests a second.
#pragma once

#include <trefoil/base/time.hpp>

namespace trefoil {

/// Exponentially weighted average of a rate of events.
class demand_average {
public:
    /// Time after which an event counts 1/e.
    static constexpr duration time_constant = 4s;

    void add(time_point now, double events);

    /// Events a second.
    double rate(time_point now) const;

private:
    time_point updated_;
    double rate_ = 0;
};

} // namespace trefoil
