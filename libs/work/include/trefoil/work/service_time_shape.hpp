// Distribution of service times around their expected value.
#pragma once

#include <array>
#include <cstddef>

namespace trefoil {

/// Histogram of the ratios of service times to their expected values, over all routes of a target.
/// Tells how much remains of a request that has run for some time: with a heavy tail, a request
/// that has run for long is expected to run for long. Old samples lose weight by halving.
class service_time_shape {
public:
    service_time_shape();

    /// Records a ratio of measured to expected service time.
    void record(double ratio);

    /// Expected remaining time of a request that has run for `elapsed`, both as multiples of its
    /// expected service time (mean residual life).
    double remaining(double elapsed) const;

    /// The ratio that half of the requests don't exceed.
    double median() const;

private:
    static constexpr std::size_t bins = 20;
    static double ratio_of(std::size_t bin);

    std::array<double, bins> counts_{};
    double total_ = 0;
};

} // namespace trefoil
