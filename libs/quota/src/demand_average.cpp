#include <trefoil/quota/demand_average.hpp>

#include <algorithm>
#include <cmath>

namespace trefoil {

void demand_average::add(time_point now, double events) {
    rate_ = rate(now) + events / to_seconds(time_constant);
    updated_ = now;
}

double demand_average::rate(time_point now) const {
    const auto past = std::max(now - updated_, duration{0});
    return rate_ * std::exp(-to_seconds(past) / to_seconds(time_constant));
}

} // namespace trefoil
