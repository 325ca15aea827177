// Experiments: run a site's load against real cores on a virtual clock and evaluate the results.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include <trefoil/admission/admission.hpp>
#include <trefoil/experiment/site.hpp>

namespace trefoil {

/// Overload protection of the fleet in one run.
enum class experiment_policy : std::uint8_t {
    /// Nodes forward all requests, and each layer of the application retries three times.
    none,
    /// Each target has a fixed concurrency limit and a FIFO queue.
    fixed,
    /// The complete overload control, except for the parts that are switched off.
    full,
};

/// Name of the policy on the command line and in reports.
std::string_view name_of(experiment_policy policy);

/// Settings of one run. Faults and the surge are active during the trigger phase in the middle of
/// the run.
struct experiment_plan {
    std::string site = "kigali";
    experiment_policy policy = experiment_policy::full;
    /// Switches of the parts of policy full.
    admission_policy parts;
    bool ejection = true;
    bool quarantine = true;
    bool spill_bound = true;
    /// Multiplier on the normal request rate during the trigger.
    double surge = 1;
    /// Services that are slow during the trigger, with the multiplier on their computation times.
    slow_services slow;
    /// Number of times that callers send an unsuccessful request again.
    std::uint32_t clients_retry = 0;
    /// Retries that each application's own client library makes for an unsuccessful call.
    std::uint32_t app_retry = 0;
    /// Interval in requests: every n-th request crashes each target that runs it; 0 for none.
    std::uint64_t crash_every = 0;
    /// Failure domain that is partitioned from the other domains and the platform during the
    /// trigger; empty for none.
    std::string cut;
    /// If true, the platform is unreachable during the trigger.
    bool platform_down = false;
    /// See admission_settings::recovery_speed.
    double recovery_speed = admission_settings{}.recovery_speed;
    /// Duration of the run. The first 25 % is normal load, the next 35 % is the trigger phase.
    duration length = 16s;
    std::uint64_t seed = 1;
};

/// Results of the requests of one kind. A request that its caller sent several times is counted
/// once, by the result of the last time; a completed request is not sent again.
struct kind_result {
    std::string kind;
    std::uint64_t offered = 0;
    /// Complete responses that their callers received before their timeout.
    std::uint64_t completed = 0;
    /// Refused with outcome not_run.
    std::uint64_t refused = 0;
    /// Answered with an application error or an incomplete body.
    std::uint64_t failed = 0;
    /// Timed out at the caller, or ended with an unknown outcome.
    std::uint64_t unknown = 0;

    friend bool operator==(const kind_result&, const kind_result&) = default;
};

/// Results of one run.
struct experiment_result {
    experiment_policy policy = experiment_policy::full;
    std::uint64_t seed = 0;
    /// Completed requests per second, over the whole run and during the trigger.
    double goodput = 0;
    double trigger_goodput = 0;
    /// Total weight of the requests completed during the trigger, per second.
    double weighted_goodput = 0;
    /// Upper bound on the weight per second under any admission policy during the trigger.
    double optimal_goodput = 0;
    /// Time from the end of the trigger until requests complete normally again; nullopt if they do
    /// not before the end of the run.
    std::optional<duration> recovery;
    /// Fraction of the targets' slot time spent on requests that did not complete.
    double wasted_work = 0;
    /// Retries of one whole request: runs of its calls at targets beyond those that the runs of the
    /// calling targets require. The maximum and the mean over all requests.
    std::uint64_t max_retries = 0;
    double mean_retries = 0;
    /// Priority inversions: one-second intervals at one target, after the first second of the
    /// trigger, in which it refused a kind that is shed last and ran a kind that is shed first.
    std::uint64_t inversions = 0;
    std::vector<kind_result> kinds;

    /// Weighted goodput as a fraction of the upper bound.
    double ratio() const { return optimal_goodput > 0 ? weighted_goodput / optimal_goodput : 0; }

    friend bool operator==(const experiment_result&, const experiment_result&) = default;
};

/// Returns the site of the given name, or nullopt if there is none.
std::optional<site> find_site(const std::string& name);

/// Runs the plan. The run is deterministic: the same plan gives the same result.
experiment_result run_experiment(const experiment_plan& plan);

/// Formats the results as a human-readable table.
std::string format_text(const experiment_plan& plan, const std::vector<experiment_result>& results);
/// Formats the results as one JSON object.
std::string format_json(const experiment_plan& plan, const std::vector<experiment_result>& results);

} // namespace trefoil
