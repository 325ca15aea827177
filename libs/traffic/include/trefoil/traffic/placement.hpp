// Chooses the instance that gets a request.
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
#include <trefoil/traffic/instance_directory.hpp>
#include <trefoil/wire/call_context.hpp>

namespace trefoil {

/// What is being placed.
struct placement_request {
    service_name service;
    /// Times are learnt for each route, since requests of different routes differ in work.
    std::string route;
    duration target_latency{0};
    /// Instances that were tried.
    std::vector<instance_id> excluded;
};

/// How an attempt ended, as placement sees it.
struct placement_result {
    attempt_result end = attempt_result::answered;
    duration took{0};
    /// What the node beside the target said of it, if it did.
    std::optional<load_report> load;
};

/// An instance that was ejected or came back, for the log.
struct health_change {
    instance_id instance;
    ejection_event event = ejection_event::none;
    ejection_state state = ejection_state::in_use;

    friend bool operator==(const health_change&, const health_change&) = default;
};

/// Compares an instance of the own failure domain with a random one of the others (power of two
/// choices, Mitzenmacher 2001) by expected time and load. The own failure domain wins until its
/// instance would take a noticeably larger part of the target latency. Answers instances of
/// different speed, instances that turn slow, and load that one failure domain can't bear. A small
/// share of requests goes to a random instance, to learn of times elsewhere.
class placement {
public:
    placement(domain_name own, std::uint64_t seed) : own_(std::move(own)), random_(seed) {}

    /// An instance of the directory for the request, or nothing.
    std::optional<listed_instance> choose(time_point now, const instance_directory& directory,
                                          const placement_request& request);

    /// An attempt begins.
    void started(time_point now, const instance_id& instance);

    /// An attempt has ended.
    health_change finished(time_point now, const placement_request& request,
                           const instance_id& instance, const placement_result& result);

    /// The node beside the instance refuses work for some time.
    void set_leaving(time_point now, const instance_id& instance);

private:
    struct learnt_time {
        double mean_us = 0;
        time_point at;
    };

    struct instance_state {
        std::uint32_t in_flight = 0;
        std::optional<load_report> load;
        time_point load_at;
        /// In flight from here when the load was reported.
        std::uint32_t in_flight_at_report = 0;
        time_point refusing_until;
        time_point leaving_until;
        instance_health health;
        std::unordered_map<std::string, learnt_time> times;
        time_point last_used;
    };

    struct candidate {
        const listed_instance* entry = nullptr;
        double cost = 0;
    };

    bool is_open(time_point now, const listed_instance& entry) const;
    double cost(time_point now, const listed_instance& entry,
                const placement_request& request) const;
    double occupancy(time_point now, const listed_instance& entry,
                     const instance_state& state) const;
    void learn(time_point now, const placement_request& request, instance_state& state,
               duration took);
    void forget_unused(time_point now);

    domain_name own_;
    random_source random_;
    std::unordered_map<instance_id, instance_state> states_;
    /// Shortest time learnt lately by route, for instances of which nothing is known.
    std::unordered_map<std::string, learnt_time> best_times_;
    std::unordered_map<service_name, time_point> good_at_;
    time_point next_sweep_;
};

} // namespace trefoil
