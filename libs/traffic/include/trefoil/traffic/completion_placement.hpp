// Chooses instances by the expected time to completion.
#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <unordered_map>
#include <vector>

#include <trefoil/base/ids.hpp>
#include <trefoil/base/random.hpp>
#include <trefoil/base/time.hpp>
#include <trefoil/traffic/instance_directory.hpp>
#include <trefoil/traffic/placement_cost.hpp>
#include <trefoil/work/domain_overflow.hpp>
#include <trefoil/work/instance_speeds.hpp>
#include <trefoil/work/work_estimator.hpp>

namespace trefoil {

/// True if requests to a service with these instances are placed by expected work.
bool uses_expected_work(const std::vector<listed_instance>& instances, bool has_workspaces);

/// An instance that a request may be sent to, with its cost.
struct completion_candidate {
    const listed_instance* entry = nullptr;
    completion_cost cost;
};

/// The candidates in and outside of the own failure domain.
struct completion_candidates {
    std::vector<completion_candidate> own;
    /// Makes the list of the others, which is needed only if the request may leave.
    std::function<std::vector<completion_candidate>()> others;
};

/// Requests that were sent to another failure domain, by reason.
struct crossing_counts {
    /// Counted although an instance of the own failure domain could have begun in time.
    std::uint64_t with_room = 0;
    /// No instance of the own failure domain could have begun in time.
    std::uint64_t lack_of_room = 0;
    /// No instance of the own failure domain could be used.
    std::uint64_t no_instance = 0;

    friend bool operator==(const crossing_counts&, const crossing_counts&) = default;
};

/// Places the requests of services of which one request takes a noticeable part of an instance, or
/// whose requests differ much in work. Compares two random instances of the own failure domain
/// (power of two choices, Mitzenmacher 2001) by expected time to completion: the work ahead over
/// the slots, and the own work over the speed. Requests leave the failure domain by lack of room,
/// see domain_overflow, to the better of two random instances elsewhere, of those with room if
/// there are any, and only if it can begin in clearly less time. A failure
/// domain that can't be reached is left out for a second.
class completion_placement {
public:
    explicit completion_placement(std::uint64_t seed) : random_(seed) {}

    /// Expected work of a request of the route at the instance.
    instance_work work_at(time_point now, const service_name& service, const std::string& route,
                          const instance_id& instance) const;

    /// Chooses one of the candidates; there must be at least one. A request that an instance has
    /// refused also leaves for an instance that can't begin in time, if it is clearly less loaded.
    const listed_instance& choose(time_point now, const service_name& service,
                                  const completion_candidates& candidates, bool was_refused);

    /// Records the service time of an answered request, without the time that it waited.
    void answered(time_point now, const service_name& service, const std::string& route,
                  const instance_id& instance, duration service_time);

    /// Records that a request to the failure domain got no answer.
    void domain_failed(time_point now, const domain_name& domain);

    void evict_unused(time_point now);

    const crossing_counts& crossings() const { return crossings_; }

    /// Calls the function with service, route and expected work of each known route.
    template <class Visitor>
    void visit_work(time_point now, Visitor visitor) const {
        for (const auto& entry : services_) {
            entry.second.work.visit(now, [&](const std::string& route, duration expected) {
                visitor(entry.first, route, expected);
            });
        }
    }

    /// Speed of the instance relative to the others of the service; 1 if unknown.
    double speed(time_point now, const service_name& service, const instance_id& instance) const;

private:
    using candidates = std::vector<completion_candidate>;

    struct service_state {
        work_estimator work;
        instance_speeds speeds;
        domain_overflow overflow;
    };

    /// The better of two random candidates, of those that can begin in time if there are any.
    const completion_candidate& draw(const candidates& from);
    /// The candidates in failure domains that can be reached; only those that can begin in time
    /// unless the request was refused before.
    candidates reachable(time_point now, const candidates& others, bool was_refused) const;

    random_source random_;
    std::unordered_map<service_name, service_state> services_;
    std::unordered_map<domain_name, time_point> unreachable_until_;
    crossing_counts crossings_;
};

} // namespace trefoil
