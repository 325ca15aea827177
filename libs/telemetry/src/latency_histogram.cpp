#include <trefoil/telemetry/latency_histogram.hpp>

#include <algorithm>
#include <cmath>

#include <boost/histogram.hpp>

namespace trefoil {
namespace {

namespace bh = boost::histogram;

constexpr double lowest_ms = 0.01;
constexpr double highest_ms = 1e6;
constexpr unsigned bucket_count = 160;

using log_axis =
    bh::axis::regular<double, bh::axis::transform::log, bh::use_default, bh::axis::option::none_t>;

auto make_counts() {
    return bh::make_histogram_with(std::vector<std::uint64_t>(),
                                   log_axis(bucket_count, lowest_ms, highest_ms));
}

} // namespace

struct latency_histogram::buckets {
    decltype(make_counts()) counts = make_counts();
    std::uint64_t total = 0;
    duration sum{0};
};

latency_histogram::latency_histogram() : buckets_(std::make_unique<buckets>()) {}
latency_histogram::~latency_histogram() = default;
latency_histogram::latency_histogram(const latency_histogram& other)
    : buckets_(std::make_unique<buckets>(*other.buckets_)) {}
latency_histogram& latency_histogram::operator=(const latency_histogram& other) {
    if (this != &other) {
        buckets_ = std::make_unique<buckets>(*other.buckets_);
    }
    return *this;
}
latency_histogram::latency_histogram(latency_histogram&&) noexcept = default;
latency_histogram& latency_histogram::operator=(latency_histogram&&) noexcept = default;

void latency_histogram::record(duration value) {
    buckets_->counts(std::clamp(to_ms(value), lowest_ms, highest_ms * 0.999));
    ++buckets_->total;
    buckets_->sum += value;
}

std::uint64_t latency_histogram::count() const {
    return buckets_->total;
}

duration latency_histogram::sum() const {
    return buckets_->sum;
}

duration latency_histogram::quantile(double fraction) const {
    const auto wanted =
        static_cast<std::uint64_t>(std::ceil(fraction * static_cast<double>(buckets_->total)));
    std::uint64_t seen = 0;
    for (const auto& bucket : bh::indexed(buckets_->counts)) {
        seen += *bucket;
        if (seen >= wanted && seen > 0) {
            return duration(std::llround(bucket.bin().upper() * 1000.0));
        }
    }
    return duration{0};
}

std::uint64_t latency_histogram::count_up_to(duration limit) const {
    std::uint64_t seen = 0;
    for (const auto& bucket : bh::indexed(buckets_->counts)) {
        if (bucket.bin().upper() > to_ms(limit) * 1.000001) {
            break;
        }
        seen += *bucket;
    }
    return seen;
}

} // namespace trefoil
