// Latency histogram of constant size with a bounded error.
#pragma once

#include <cstdint>
#include <memory>

#include <trefoil/base/time.hpp>

namespace trefoil {

/// Counts durations from 0.01 ms to 1000 s in logarithmic buckets, 20 per factor of ten. The error
/// of a quantile is at most 12.3 %. Values outside the range are counted in the first or the last
/// bucket. The memory use is constant.
class latency_histogram {
public:
    latency_histogram();
    ~latency_histogram();
    latency_histogram(const latency_histogram&);
    latency_histogram& operator=(const latency_histogram&);
    latency_histogram(latency_histogram&&) noexcept;
    latency_histogram& operator=(latency_histogram&&) noexcept;

    void record(duration value);
    std::uint64_t count() const;
    /// Returns the sum of all recorded values.
    duration sum() const;
    /// Returns the upper bound of the bucket that contains the quantile; zero if nothing was
    /// recorded. `fraction` is from 0 to 1.
    duration quantile(double fraction) const;
    /// Returns the number of values in the buckets that lie entirely at or below the limit.
    std::uint64_t count_up_to(duration limit) const;

private:
    struct buckets;
    std::unique_ptr<buckets> buckets_;
};

} // namespace trefoil
