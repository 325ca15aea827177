// Counters of calls by kind of request.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>

#include <trefoil/telemetry/latency_histogram.hpp>
#include <trefoil/wire/call_context.hpp>

namespace trefoil {

/// Number of values of refusal, none included.
inline constexpr std::size_t refusal_count = 19;

/// Counters of one kind at one place.
struct kind_metrics {
    std::uint64_t offered = 0;
    std::uint64_t completed = 0;
    /// Completed with an HTTP status below 400.
    std::uint64_t succeeded = 0;
    std::uint64_t not_run = 0;
    std::uint64_t unknown = 0;
    /// Attempts beyond the first.
    std::uint64_t retries = 0;
    std::array<std::uint64_t, refusal_count> refused{};
    /// Time from arrival to a complete answer.
    latency_histogram latency;
};

/// Counters of one node by kind. `edge` counts whole requests of callers, `legs` calls that the
/// own target was asked to run.
struct call_metrics {
    std::map<std::string, kind_metrics> edge;
    std::map<std::string, kind_metrics> legs;
};

/// Counts how a call ended.
void record_end(kind_metrics& metrics, const answer_info& info, int status, duration elapsed);

} // namespace trefoil
