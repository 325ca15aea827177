// Chooses the instance that a request is sent to.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include <trefoil/base/ids.hpp>
#include <trefoil/base/random.hpp>
#include <trefoil/base/time.hpp>
#include <trefoil/routing/instance_health.hpp>
#include <trefoil/traffic/completion_placement.hpp>
#include <trefoil/traffic/instance_directory.hpp>
#include <trefoil/traffic/placement_cost.hpp>
#include <trefoil/wire/call_context.hpp>

namespace trefoil {

/// A request to choose an instance for.
struct placement_request {
    service_name service;
    /// Latencies are estimated for each route, since requests of different routes differ in work.
    std::string route;
    /// Target latency of the route; 0 selects a default of 1 s.
    duration target_latency{0};
    /// Instances that were already tried.
    std::vector<instance_id> excluded;
    /// True if the service's requests are placed by expected work, see uses_expected_work.
    bool is_by_work = false;
};

/// Result of an attempt at an instance.
struct placement_result {
    attempt_result end = attempt_result::answered;
    /// Latency of the attempt.
    duration took{0};
    /// Load reported by the target's node, if any.
    std::optional<load_report> load;
};

/// Health of an instance after an attempt, with the change if the instance was ejected or returned
/// to use, for the log.
struct health_change {
    instance_id instance;
    ejection_event event = ejection_event::none;
    ejection_state state = ejection_state::in_use;

    friend bool operator==(const health_change&, const health_change&) = default;
};

/// Load balancer that draws two random instances of the own failure domain and two of the others
/// (power of two choices, Mitzenmacher 2001) and compares them by expected latency, load and the
/// share of attempts that fail. The
/// own failure domain is preferred until its instance would take a noticeably larger part of the
/// target latency. Handles instances of different speed, instances that become slow, and load that
/// exceeds the capacity of one failure domain. A small fraction of requests goes to a random
/// instance, to keep the latency estimates of all instances up to date. Requests to services of
/// which expected work is used are placed by completion_placement instead.
class placement {
public:
    placement(domain_name own, std::uint64_t seed)
        : own_(std::move(own)), random_(seed), by_completion_(seed) {}

    /// Returns an instance for the request, or nothing if the directory has none that is not
    /// excluded. If all are ejected or leaving, one of them is chosen at random.
    std::optional<listed_instance> choose(time_point now, const instance_directory& directory,
                                          const placement_request& request);

    /// Records the start of an attempt.
    void started(time_point now, const instance_id& instance);

    /// Records the end of an attempt and updates the health and the estimates of the instance.
    health_change finished(time_point now, const placement_request& request,
                           const instance_id& instance, const placement_result& result);

    /// Records that the instance's node refuses work because it is leaving. The instance is avoided
    /// for 3 s.
    void set_leaving(time_point now, const instance_id& instance);

    /// Records the requests a second that the instance has named as its limit, or that it names
    /// none.
    void set_rate_limit(const instance_id& instance, std::optional<double> requests_per_second);
    /// Returns the limit that the instance has named, if any.
    std::optional<double> rate_limit(const instance_id& instance) const;

    /// What is known of the services whose requests are placed by expected work.
    const completion_placement& by_completion() const { return by_completion_; }

private:
    struct latency_estimate {
        double mean_us = 0;
        time_point at;
    };

    /// Moving average of the share of attempts that failed at an instance.
    struct failure_estimate {
        double share = 0;
        time_point at;
    };

    struct instance_state {
        known_load load;
        time_point overloaded_until;
        time_point leaving_until;
        std::optional<double> rate_limit;
        instance_health health;
        std::unordered_map<std::string, latency_estimate> latencies;
        failure_estimate failures;
        time_point last_used;
        /// Failure domain of the instance, if it was chosen by expected work.
        std::optional<domain_name> domain;
    };

    /// Instances that may be chosen, in and outside of the own failure domain.
    struct eligible_instances {
        std::vector<const listed_instance*> own;
        std::vector<const listed_instance*> others;
    };

    struct candidate {
        const listed_instance* entry = nullptr;
        double cost = 0;
    };

    /// False for an instance that is leaving, ejected, or on trial with a request in flight.
    bool is_eligible(time_point now, const listed_instance& entry) const;
    /// Relative cost of sending the request to the instance; lower is better.
    double cost(time_point now, const listed_instance& entry,
                const placement_request& request) const;
    /// Updates the latency estimates by a completed request.
    void update_latency(time_point now, const placement_request& request, instance_state& state,
                        duration latency);
    /// Updates the failure estimate by an attempt that shows something of the instance.
    static void update_failures(time_point now, instance_state& state, attempt_result result);
    /// Expected share of failing attempts. It moves to 0 without new attempts.
    static double failure_share(time_point now, const instance_state& state);
    /// Chooses among the eligible instances by latency and load.
    listed_instance choose_by_latency(time_point now, const placement_request& request,
                                      const eligible_instances& eligible);
    /// Chooses among the eligible instances by expected time to completion.
    listed_instance choose_by_work(time_point now, const placement_request& request,
                                   const eligible_instances& eligible);
    completion_candidate completion_candidate_of(time_point now, const placement_request& request,
                                                 const listed_instance& entry) const;
    /// Updates what is known of the work and of other failure domains by an attempt.
    void note_work(time_point now, const placement_request& request, const instance_id& instance,
                   const placement_result& result);
    void evict_unused(time_point now);

    domain_name own_;
    random_source random_;
    std::unordered_map<instance_id, instance_state> states_;
    /// Lowest recent latency estimate of each route, used for instances without an estimate.
    std::unordered_map<std::string, latency_estimate> best_latencies_;
    /// Time of the last successful answer of each service.
    std::unordered_map<service_name, time_point> last_success_;
    time_point next_sweep_;
    completion_placement by_completion_;
};

} // namespace trefoil
