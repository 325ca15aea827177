// Runs a site's load against real cores under a paused clock and judges what callers got.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include <trefoil/admission/admission.hpp>
#include <trefoil/experiment/site.hpp>

namespace trefoil {

/// How the fleet of one run protects itself.
enum class experiment_policy : std::uint8_t {
    /// Nodes pass everything through, and each layer of the application retries three times.
    none,
    /// Each target has a fixed limit and a queue in order of arrival.
    fixed,
    /// All of the product, but for the parts that are switched off.
    full,
};

/// The policy's word on the command line and in reports.
std::string_view name_of(experiment_policy policy);

/// What one run does. Faults and the surge last for the trigger, the middle of the run.
struct experiment_plan {
    std::string site = "kigali";
    experiment_policy policy = experiment_policy::full;
    /// Switches of policy full.
    admission_policy parts;
    bool ejection = true;
    bool quarantine = true;
    bool spill_bound = true;
    /// Factor on the normal rate during the trigger.
    double surge = 1;
    /// Services that are slow during the trigger, with the factor on their computations.
    slow_services slow;
    /// Times that callers send an unsuccessful request again.
    std::uint32_t clients_retry = 0;
    /// Times that each target's own library repeats an unsuccessful call.
    std::uint32_t app_retry = 0;
    /// Every so many requests one crashes each target that runs it; 0 for none.
    std::uint64_t crash_every = 0;
    /// Failure domain that is cut off during the trigger; empty for none.
    std::string cut;
    /// The platform can't be reached during the trigger.
    bool platform_down = false;
    /// See admission_settings::recovery_speed.
    double recovery_speed = admission_settings{}.recovery_speed;
    /// Length of the run, of which the first quarter is normal and the next 35 % the trigger.
    duration length = 16s;
    std::uint64_t seed = 1;
};

/// What became of the requests of one kind. A request that its caller sent several times counts
/// once, by its best end.
struct kind_result {
    std::string kind;
    std::uint64_t offered = 0;
    /// Complete answers within the deadline.
    std::uint64_t completed = 0;
    /// Refused and said not to have run.
    std::uint64_t refused = 0;
    /// Answered with an error of the application.
    std::uint64_t failed = 0;
    /// Neither answered nor refused in time.
    std::uint64_t unknown = 0;

    friend bool operator==(const kind_result&, const kind_result&) = default;
};

/// What one run showed.
struct experiment_result {
    experiment_policy policy = experiment_policy::full;
    std::uint64_t seed = 0;
    /// Completed requests a second, over the whole run and during the trigger.
    double goodput = 0;
    double trigger_goodput = 0;
    /// Completed weight a second during the trigger.
    double weighted_goodput = 0;
    /// The most weight a second that any admission could complete during the trigger.
    double oracle = 0;
    /// From the end of the trigger until requests complete as before it; nothing if they don't
    /// before the end of the run.
    std::optional<duration> recovery;
    /// Share of the targets' slot time that went to requests that did not complete.
    double wasted_work = 0;
    /// Runs of calls of one whole request at targets, beyond those that the runs of their callers
    /// call for.
    std::uint64_t max_retries = 0;
    double mean_retries = 0;
    /// Seconds at one target, from the trigger's second one on, in which it refused a kind that is
    /// shed last and ran one that is shed first.
    std::uint64_t inversions = 0;
    std::vector<kind_result> kinds;

    double ratio() const { return oracle > 0 ? weighted_goodput / oracle : 0; }

    friend bool operator==(const experiment_result&, const experiment_result&) = default;
};

/// The site of a name; nothing for an unknown one.
std::optional<site> find_site(const std::string& name);

/// Runs the plan. The same plan gives the same result.
experiment_result run_experiment(const experiment_plan& plan);

/// The results as a table for people.
std::string format_text(const experiment_plan& plan, const std::vector<experiment_result>& results);
/// The results as one JSON object.
std::string format_json(const experiment_plan& plan, const std::vector<experiment_result>& results);

} // namespace trefoil
