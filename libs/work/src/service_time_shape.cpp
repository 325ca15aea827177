#include <trefoil/work/service_time_shape.hpp>

#include <algorithm>
#include <cmath>

namespace trefoil {
namespace {

/// Bins are half an octave wide; the first is at this power of two.
constexpr double first_exponent = -4;
/// The sum of weights at which all weights are halved.
constexpr double max_total = 2048;
/// Weight and spread of the lognormal distribution that holds before the first samples.
constexpr double initial_total = 64;
constexpr double initial_spread = 0.8;
/// Remaining time of a request beyond all samples, as a fraction of the time it has run.
constexpr double remaining_beyond = 0.5;

} // namespace

double service_time_shape::ratio_of(std::size_t bin) {
    return std::exp2(first_exponent + static_cast<double>(bin) / 2);
}

service_time_shape::service_time_shape() {
    for (std::size_t bin = 0; bin < bins; ++bin) {
        const double distance =
            (std::log(ratio_of(bin)) + initial_spread * initial_spread / 2) / initial_spread;
        counts_[bin] = std::exp(-distance * distance / 2);
        total_ += counts_[bin];
    }
    for (auto& count : counts_) {
        count *= initial_total / total_;
    }
    total_ = initial_total;
}

void service_time_shape::record(double ratio) {
    const double bin = (std::log2(std::max(ratio, 1e-6)) - first_exponent) * 2;
    counts_[static_cast<std::size_t>(std::clamp(std::round(bin), 0.0, bins - 1.0))] += 1;
    total_ += 1;
    if (total_ > max_total) {
        for (auto& count : counts_) {
            count /= 2;
        }
        total_ /= 2;
    }
}

double service_time_shape::remaining(double elapsed) const {
    double weight = 0;
    double sum = 0;
    for (std::size_t bin = bins; bin-- > 0;) {
        const double left = ratio_of(bin) - elapsed;
        if (left <= 0) {
            break;
        }
        weight += counts_[bin];
        sum += counts_[bin] * left;
    }
    return weight > 0 ? sum / weight : elapsed * remaining_beyond;
}

double service_time_shape::median() const {
    double below = 0;
    for (std::size_t bin = 0; bin < bins; ++bin) {
        below += counts_[bin];
        if (below >= total_ / 2) {
            return ratio_of(bin);
        }
    }
    return 1;
}

} // namespace trefoil
