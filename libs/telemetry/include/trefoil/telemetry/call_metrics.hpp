// Call counters for each kind of request.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>

#include <trefoil/telemetry/latency_histogram.hpp>
#include <trefoil/wire/call_context.hpp>

namespace trefoil {

/// Number of values of refusal, including `none`.
inline constexpr std::size_t refusal_count = 19;

/// Counters of one kind, either of whole requests or of calls to the local target.
struct kind_metrics {
    /// Calls that arrived.
    std::uint64_t offered = 0;
    /// Calls with a complete answer.
    std::uint64_t completed = 0;
    /// Completed with an HTTP status below 400.
    std::uint64_t succeeded = 0;
    /// Calls with the outcome not_run.
    std::uint64_t not_run = 0;
    /// Calls with the outcome unknown.
    std::uint64_t unknown = 0;
    /// Attempts beyond the first.
    std::uint64_t retries = 0;
    /// Calls that were refused or have no answer, indexed by the value of refusal.
    std::array<std::uint64_t, refusal_count> refused{};
    /// Time from arrival to a complete answer.
    latency_histogram latency;
};

/// Counters of one node by kind. `edge` counts the whole requests that callers sent to this node,
/// `legs` the calls addressed to the local target.
struct call_metrics {
    std::map<std::string, kind_metrics> edge;
    std::map<std::string, kind_metrics> local_calls;
};

/// Counts the result of a call. `status` is the HTTP status of its answer; `elapsed` is the time
/// since the call arrived.
void record_call_result(kind_metrics& metrics, const answer_info& info, int status,
                        duration elapsed);

} // namespace trefoil
