// Sends a plan's requests at their times, whether or not answers come (open loop), and measures.
#pragma once

#include <functional>
#include <map>
#include <string>
#include <vector>

#include <trefoil/load/load_plan.hpp>
#include <trefoil/telemetry/latency_histogram.hpp>

namespace trefoil {

/// What became of the requests of one kind.
struct kind_result {
    std::uint64_t offered = 0;
    /// Answered in full with a status below 400 and in time.
    std::uint64_t completed = 0;
    /// Refused, and said not to have run.
    std::uint64_t not_run = 0;
    /// Answered in full, but with an error of the application or too late.
    std::uint64_t failed = 0;
    /// Without an answer, or with one that doesn't say whether the request ran.
    std::uint64_t unknown = 0;
    latency_histogram latency;
};

/// What a run has measured.
struct load_result {
    std::map<std::string, kind_result> kinds;
    /// Completed requests over those that the site could have completed.
    double goodput = 0;
    /// From the end of the phase `surge` until the last tenth of a second in which under nine of
    /// ten requests completed; 0 without such a phase.
    double recovery_s = 0;
    /// Runs of one request at any one service beyond the first, the greatest.
    std::uint64_t retries_per_request_max = 0;
    /// From the first call that publishes a table until all admin listeners show a newer one;
    /// negative if there was no such call or a node never showed it.
    double table_in_force_s = -1;
    /// Requests whose answer held another request's text.
    std::uint64_t foreign_answers = 0;
};

/// Told of the beginning of each phase.
using phase_observer = std::function<void(const planned_phase&)>;

/// Runs the plan to its end. At most 5,000 requests are open at once; further ones count as
/// unknown.
load_result run_load(const load_plan& plan, const phase_observer& on_phase);

/// The result as aligned text, its last line in the form `name=value name=value`.
std::string to_text(const load_result& result);

} // namespace trefoil
