// Levels of short services, as told in the answers of other nodes.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include <trefoil/admission/admission_position.hpp>
#include <trefoil/base/ids.hpp>
#include <trefoil/base/time.hpp>

namespace trefoil {

/// What an answer tells of a service at or below the answering node that is short.
struct shortage_level {
    service_name service;
    /// Requests at or above this position are more than the service can do. With admit_all, the
    /// service is short, but nothing is told of its threshold.
    std::uint32_t threshold = admit_all;
    /// Service time that the service has spent on the answered call.
    duration spent{0};

    friend bool operator==(const shortage_level&, const shortage_level&) = default;
};

/// Position of a whole request in the order of shedding of short services: its priority, then its
/// place within the priority (the request bucket), and at the same place calls of targets before
/// requests of callers.
std::uint32_t shedding_position(std::uint32_t priority, std::uint32_t request_bucket,
                                bool is_nested);

/// Keeps the levels that answers tell, for each short service, and the services that the runs of
/// each route lead to, so that requests that a service deep in the call graph has no room for are
/// refused where they begin. Answers the load of a service that is short at times and is called
/// many times by each request of some kinds, over several layers.
///
/// All answers count for the level of a service, of whatever route, so that a route that is refused
/// entirely is admitted again by what other routes hear. A level that is not told any more rises
/// over time, slowly at first, so that the most important requests probe first.
class shortage_levels {
public:
    /// Records an answer to a request of the route; `told` is empty if it tells of no shortage.
    void record(time_point now, const std::string& route, std::uint32_t priority,
                const std::optional<shortage_level>& told);

    /// Requests of the route at or above this position are to be refused; admit_all if none are.
    std::uint32_t threshold(time_point now, const std::string& route) const;

    /// True if a request of the route at this position is to be admitted where it begins. Requests
    /// that only the rise of an old level lets in are probes: few are admitted until one is
    /// answered, as all of them would be work in vain if the service is still short.
    bool admits(time_point now, const std::string& route, std::uint32_t position);

    /// The level of the service to tell in answers; empty if nothing is known of it or it admits
    /// every request.
    std::optional<shortage_level> level_of(time_point now, const service_name& service) const;

    /// True if the route leads to a service that answers have told to be short a moment ago.
    bool leads_to_short_service(time_point now, const std::string& route) const;

    /// Service time that short services spend on a request of the route, relative to the mean over
    /// routes; 1 if unknown and 0 for a route that does not lead to a short service.
    double relative_cost(const std::string& route) const;

    /// Time until a request of the route at this position is expected to be admitted: zero if it
    /// would be now. A shortage is expected to last as long again as it has lasted, and the
    /// requests next to the threshold are the first to be admitted again.
    duration expected_wait(time_point now, const std::string& route, std::uint32_t position) const;

private:
    struct service_level {
        double threshold = admit_all;
        time_point told_at;
        /// Start of the shortage.
        time_point since;
        /// Time of the last answer that told of the shortage.
        time_point short_at;
        /// Time at which a probe was last admitted.
        time_point probed_at;
    };
    struct route_state {
        std::vector<service_name> services;
        std::optional<double> cost_us;
    };

    /// The threshold that admits every priority seen so far.
    double top() const { return top_; }
    void raise_top(double end_of_priority);
    /// Records for one service of a route what an answer to the route tells.
    void record_level(time_point now, const service_name& service, service_level& level,
                      const std::optional<shortage_level>& told) const;
    void move_towards(time_point now, service_level& level, double told) const;
    /// True if only the rise of the level lets in a request at this position.
    bool is_probe(time_point now, const service_level& level, std::uint32_t position) const;
    double effective_threshold(time_point now, const service_level& level) const;
    bool is_any_short(time_point now) const;
    route_state* state_of(const std::string& route);
    /// The level with the lowest threshold of the services that the route leads to.
    const service_level* lowest(time_point now, const std::string& route) const;

    std::map<service_name, service_level> levels_;
    std::unordered_map<std::string, route_state> routes_;
    double top_ = positions_per_priority;
};

} // namespace trefoil
