// Chooses the instance that a call is sent to.
#pragma once

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include <trefoil/base/random.hpp>
#include <trefoil/base/time.hpp>
#include <trefoil/membership/membership.hpp>
#include <trefoil/routing/instance_health.hpp>
#include <trefoil/wire/call_context.hpp>

namespace trefoil {

/// Failure domain and region of the node.
struct location {
    domain_name domain;
    region_name region;

    friend bool operator==(const location&, const location&) = default;
};

/// Routing policy.
struct routing_settings {
    /// If false, the results of attempts never eject an instance.
    bool is_ejection_enabled = true;
    /// Calls that may spill over from the home tier, as a fraction of the calls that the home tier
    /// takes.
    double spill_share = 0.2;
    /// Maximum number of calls that may spill over in a burst.
    double spill_burst = 10;

    friend bool operator==(const routing_settings&, const routing_settings&) = default;
};

/// An instance that was ejected, or returned to use after a successful trial call.
struct ejection_change {
    instance_id instance;
    bool is_ejected = false;
    /// Duration of the ejection until the first trial call; 0 for a return.
    duration time{0};

    friend bool operator==(const ejection_change&, const ejection_change&) = default;
};

/// Load balancer with outlier ejection and locality tiers. Compares two random instances (power of
/// two choices, Mitzenmacher 2001) by this node's calls in flight there and by their last reported
/// load, discounted by its age.
///
/// The home tier of a service is the nearest of own failure domain, own region and elsewhere that
/// has an instance in use. Calls leave the home tier only after its usable instances were tried,
/// and only up to a fraction of the calls that it takes. At most half of a service's instances are
/// ejected. State is held only for recently called instances and services, never for the whole
/// fleet.
class router {
public:
    explicit router(location here, routing_settings settings = {})
        : here_(std::move(here)), settings_(settings) {}

    /// Returns an instance of the service that is not excluded, or nothing.
    std::optional<member> pick(time_point now, const membership& members,
                               const service_name& service,
                               const std::vector<instance_id>& excluded, random_source& random);

    /// Records the start of an attempt at the instance.
    void started(const instance_id& instance);

    /// Records the result of an attempt, with the load that the response reported.
    void finished(time_point now, const instance_id& instance, attempt_result result,
                  const std::optional<load_report>& load);

    /// Returns the number of this node's calls in flight to the instance.
    std::uint32_t in_flight(const instance_id& instance) const;

    /// Returns the ejections and returns since the last call of this function.
    std::vector<ejection_change> take_changes();

    /// Number of instances whose state is held.
    std::size_t size() const { return peers_.size(); }

private:
    struct peer_state {
        service_name service;
        time_point last_used;
        std::uint32_t in_flight = 0;
        std::optional<load_report> load;
        /// Time of the load report.
        time_point load_at;
        instance_health health;
    };

    struct service_state {
        time_point last_used;
        /// Time of the last successful answer of any instance.
        std::optional<time_point> last_success;
        /// Calls that may spill over from the home tier at present.
        double spill_allowance = 0;
    };

    struct candidate {
        const member* entry = nullptr;
        const peer_state* peer = nullptr;
        int tier = 0;
        bool is_excluded = false;
        ejection_state state = ejection_state::in_use;

        /// True if the call may be sent to the instance.
        bool is_usable() const;
    };
    using candidates = std::vector<candidate>;

    /// Fills candidates_ with the members of the service that are not leaving.
    void collect_candidates(time_point now, const membership& members, const service_name& service,
                            const std::vector<instance_id>& excluded);
    /// Puts the instances with the oldest ejections back into use while more than half are ejected
    /// or on trial.
    void limit_ejections();
    /// Returns the less loaded of two random usable candidates of the tier; null if there is none.
    const candidate* choose(time_point now, int tier, random_source& random) const;
    /// True if the first is less loaded. Instances that reported their limit are compared by load
    /// per unit of it, since a slow instance has a lower limit.
    bool is_less_loaded(time_point now, const candidate& first, const candidate& second) const;
    /// Returns the state of the service, which is created if needed, and marks it as used.
    service_state& touch_service(time_point now, const service_name& service);
    void evict_unused(time_point now);

    location here_;
    routing_settings settings_;
    std::unordered_map<instance_id, peer_state> peers_;
    std::unordered_map<service_name, service_state> services_;
    std::vector<ejection_change> changes_;
    /// Candidates of the current pick; a member to reuse its memory.
    candidates candidates_;
    time_point next_sweep_;
};

} // namespace trefoil
