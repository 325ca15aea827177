// Counters and latency histograms of one proxy.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include <trefoil/http1/tcp_stream.hpp>
#include <trefoil/quota/quota_ledger.hpp>
#include <trefoil/telemetry/latency_histogram.hpp>
#include <trefoil/wire/call_context.hpp>

#include "target_answer_report.hpp"

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
    void count_rejected_answer(answer_fate fate, const std::string& cause) {
        ++rejected_answers_[{fate, cause}];
    }
    void count_cut_answer(http1::close_reason cause) { ++cut_answers_[cause]; }

    /// Returns all metrics in the Prometheus text format.
    std::string text() const;

private:
    static constexpr std::size_t max_routes = 64;

    std::map<std::string, route_metrics> routes_;
    std::map<refusal, std::uint64_t> refusals_;
    std::map<std::string, std::uint64_t> retries_;
    /// Answers of the target that were not passed on, by what became of them and why.
    std::map<std::pair<answer_fate, std::string>, std::uint64_t> rejected_answers_;
    /// Connections that were lost before all answers were acknowledged.
    std::map<http1::close_reason, std::uint64_t> cut_answers_;
};

/// Returns the requests of limited workspaces in the Prometheus text format. The others together
/// have an empty name.
std::string workspace_metrics(const std::vector<workspace_counts>& counts);

} // namespace trefoil
