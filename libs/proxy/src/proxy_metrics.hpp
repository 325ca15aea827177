// Counters and latency histograms of one proxy.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include <trefoil/telemetry/latency_histogram.hpp>
#include <trefoil/wire/call_context.hpp>

namespace trefoil {

/// The result of a call for its caller.
enum class call_result : std::uint8_t {
    served,
    served_late,
    /// The target responded with an error.
    target_error,
    refused,
    failed,
    timed_out,
    abandoned,
};

std::string_view name_of(call_result result);

/// Counters of one route.
struct route_metrics {
    std::map<call_result, std::uint64_t> results;
    latency_histogram latency;
};

/// Counts calls by route, refusals by reason and retries by cause. Routes beyond a fixed number
/// share one entry, so that memory is bounded.
class proxy_metrics {
public:
    void record_call(const std::string& route, call_result result, duration took);
    void count_refusal(refusal reason) { ++refusals_[reason]; }
    void count_retry(const std::string& cause) { ++retries_[cause]; }

    /// Returns all metrics in the Prometheus text format.
    std::string text() const;

private:
    static constexpr std::size_t max_routes = 64;

    std::map<std::string, route_metrics> routes_;
    std::map<refusal, std::uint64_t> refusals_;
    std::map<std::string, std::uint64_t> retries_;
};

} // namespace trefoil
