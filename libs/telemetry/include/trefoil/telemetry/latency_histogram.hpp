// Durations in buckets of bounded number and stated error.
#pragma once

#include <cstdint>
#include <memory>

#include <trefoil/base/time.hpp>

namespace trefoil {

/// Counts durations from 0.01 ms to 1000 s in logarithmic buckets, 20 to a factor of ten: a
/// quantile is off by at most 12.3 %. Values outside are counted in the first or last bucket.
/// Memory is constant.
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
    /// Sum of all recorded values.
    duration sum() const;
    /// Upper edge of the bucket in which the quantile lies; zero if nothing was recorded.
    duration quantile(double fraction) const;
    /// Number of values at or below the limit, by whole buckets.
    std::uint64_t count_up_to(duration limit) const;

private:
    struct buckets;
    std::unique_ptr<buckets> buckets_;
};

} // namespace trefoil
