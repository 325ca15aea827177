// Counters and latency histograms of one proxy.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include <trefoil/telemetry/latency_histogram.hpp>
#include <trefoil/wire/call_context.hpp>

namespace trefoil {

/// How a call ended for its caller.
enum class call_end : std::uint8_t {
    served,
    served_late,
    /// The target's own failure.
    target_error,
    refused,
    failed,
    timed_out,
    abandoned,
};

std::string_view name_of(call_end end);

/// Counters of one route.
struct route_metrics {
    std::map<call_end, std::uint64_t> ends;
    latency_histogram latency;
};

/// Counts calls by route, and what happens between nodes. Routes beyond a bound share one entry,
/// so that memory is bounded.
class proxy_metrics {
public:
    void ended(const std::string& route, call_end end, duration took);
    void refused_here(refusal reason) { ++refusals_[reason]; }
    void repeated(const std::string& cause) { ++repeats_[cause]; }

    /// All counters in Prometheus' text format.
    std::string text() const;

private:
    static constexpr std::size_t max_routes = 64;

    std::map<std::string, route_metrics> routes_;
    std::map<refusal, std::uint64_t> refusals_;
    std::map<std::string, std::uint64_t> repeats_;
};

} // namespace trefoil
