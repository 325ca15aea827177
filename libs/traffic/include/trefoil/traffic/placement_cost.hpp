// The cost of sending a request to an instance, by its parts.
#pragma once

#include <algorithm>
#include <cstdint>
#include <optional>

#include <trefoil/base/time.hpp>
#include <trefoil/wire/call_context.hpp>

namespace trefoil {

/// What a node knows of the load of an instance.
struct known_load {
    /// Calls of this node in flight at the instance.
    std::uint32_t in_flight = 0;
    /// The latest report of the instance's node, if any.
    std::optional<load_report> report;
    time_point reported_at;
    /// This node's calls in flight there when the load was reported.
    std::uint32_t in_flight_at_report = 0;

    friend bool operator==(const known_load&, const known_load&) = default;
};

/// Used fraction of the capacity of an instance with these slots; above 1 if calls are queued.
double occupancy_of(time_point now, std::uint32_t slots, const known_load& load);

/// Cost of leaving the own failure domain, as a fraction of the target latency.
inline constexpr double leaving_cost = 0.4;

/// The parts of the cost by latency and load, each as a fraction of the target latency. Lower is
/// better.
struct latency_cost {
    /// Leaving the own failure domain.
    double distance = 0;
    /// Expected latency.
    double latency = 0;
    double occupancy = 0;
    /// The instance has just refused because of load.
    double overload = 0;
    /// Attempts that fail and have to be repeated.
    double failures = 0;

    double total() const {
        return distance + latency + occupancy * occupancy + overload + failures;
    }
    friend bool operator==(const latency_cost&, const latency_cost&) = default;
};

/// The parts of the cost by expected time to completion, each as a fraction of the target latency.
/// Lower is better.
struct completion_cost {
    /// Calls ahead, each with the mean work of the service, over the slots of the instance.
    double ahead = 0;
    /// Expected time until the request would be dispatched, by the reported backlog; 0 if there is
    /// a free slot.
    double wait = 0;
    /// Own work at the speed of the instance.
    double service = 0;
    double overload = 0;
    double failures = 0;

    /// Failures up to this cost, a fifth of the attempts, are no reason to leave the failure
    /// domain: errors of the application occur at all instances.
    static constexpr double tolerated_failures = 0.4;

    double total() const { return ahead + service + overload + failures; }
    /// How far the instance is from being able to begin in time, see domain_overflow.
    double pressure() const {
        return wait + overload + std::max(failures - tolerated_failures, 0.0);
    }
    friend bool operator==(const completion_cost&, const completion_cost&) = default;
};

/// Work in the time of one instance.
struct instance_work {
    /// Expected service time of the request.
    duration own{0};
    /// Expected service time of the mean request of the service; 0 before the first answer.
    duration mean{0};

    friend bool operator==(const instance_work&, const instance_work&) = default;
};

/// Returns the parts `ahead`, `wait` and `service` for an instance with these slots. Reports lose
/// weight with age, and what this node has sent since is added. Before the first answer, the target
/// latency stands for the mean service time, so that long requests are spread by their number.
completion_cost completion_cost_of(time_point now, std::uint32_t slots, const known_load& load,
                                   const instance_work& work, duration target_latency);

/// Time that a request with this latency has probably waited, by the load report of its answer.
duration probable_wait(const std::optional<load_report>& report, duration latency);

} // namespace trefoil
