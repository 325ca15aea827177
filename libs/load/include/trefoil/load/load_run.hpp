// Open-loop load generator: sends the requests of a plan at their scheduled times, independent of
// responses, and measures the results.
#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include <trefoil/load/load_plan.hpp>
#include <trefoil/telemetry/latency_histogram.hpp>

namespace trefoil {

/// Results of the requests of one kind.
struct kind_result {
    std::uint64_t offered = 0;
    /// Complete response with a status below 400 within the deadline.
    std::uint64_t completed = 0;
    /// Refused with the outcome not_run.
    std::uint64_t not_run = 0;
    /// Complete response, but with an application error or after the deadline.
    std::uint64_t failed = 0;
    /// No response, or one that doesn't show whether the request ran. Includes requests that were
    /// not sent and responses with the body of another request.
    std::uint64_t unknown = 0;
    /// Latency of completed requests.
    latency_histogram latency;
};

/// Measurements of a load run.
struct load_result {
    std::map<std::string, kind_result> kinds;
    /// Completed requests divided by those that the site could have completed.
    double goodput = 0;
    /// Seconds from the start of the phase `recovery` to the end of its last 100 ms window in which
    /// fewer than nine of ten requests completed. 0 if the plan has no such phase.
    double recovery_s = 0;
    /// Maximum number of executions of one request at one service beyond the first.
    std::uint64_t retries_per_request_max = 0;
    /// Seconds from the first call that publishes a table until all admin listeners show a newer
    /// revision. Negative if there is no such call or a node never shows a newer revision.
    double table_in_force_s = -1;
    /// Number of responses whose body does not contain the body of their own request.
    std::uint64_t mismatched_answers = 0;
};

/// Requests that finished within one second of a run. `offered` counts the requests sent in it, and
/// `failed` includes unknown outcomes.
struct load_progress {
    std::size_t second = 0;
    std::uint64_t offered = 0;
    std::uint64_t completed = 0;
    std::uint64_t not_run = 0;
    std::uint64_t failed = 0;

    friend bool operator==(const load_progress&, const load_progress&) = default;
};

/// Callbacks that report the progress of a run. Both must be set.
struct load_observer {
    std::function<void(const planned_phase&)> on_phase;
    std::function<void(const load_progress&)> on_second;
};

/// Executes the plan. At most 5,000 requests are in flight at once; further ones are not sent and
/// count as unknown.
load_result run_load(const load_plan& plan, const load_observer& observer);

/// Formats the result as aligned text. The last line has the form `name=value name=value`.
std::string to_text(const load_result& result);

} // namespace trefoil
