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

/// Where the choosing node itself stands.
struct location {
    domain_name domain;
    region_name region;

    friend bool operator==(const location&, const location&) = default;
};

/// Policy of the choice.
struct routing_settings {
    /// False for a choice that ignores how attempts ended.
    bool ejects = true;
    /// Calls that may leave the home tier, as a share of those that it takes.
    double spill_share = 0.2;
    /// Spilled calls that may be saved up.
    double spill_burst = 10;

    friend bool operator==(const routing_settings&, const routing_settings&) = default;
};

/// An instance that was ejected, or returned after a good trial call.
struct ejection_change {
    instance_id instance;
    bool is_ejected = false;
    /// How long the ejection lasts until the first trial call.
    duration time{0};

    friend bool operator==(const ejection_change&, const ejection_change&) = default;
};

/// Power of two choices (Mitzenmacher 2001) over the calls in flight from here and the load that
/// the instance last reported, discounted by its age. The home tier of a service is the nearest of
/// own failure domain, own region and elsewhere that has an instance in use; calls leave it only
/// when its instances were tried, and only up to a share. At most half of a service is ejected.
/// State is held for instances and services that were called lately, never for the whole fleet.
class router {
public:
    explicit router(location here, routing_settings settings = {})
        : here_(std::move(here)), settings_(settings) {}

    /// An instance of the service that is not excluded, or nothing.
    std::optional<member> pick(time_point now, const membership& members,
                               const service_name& service,
                               const std::vector<instance_id>& excluded, random_source& random);

    /// Notes that an attempt at the instance begins.
    void started(const instance_id& instance);

    /// Notes how an attempt ended, with the load that the answer reported.
    void finished(time_point now, const instance_id& instance, attempt_result result,
                  const std::optional<load_report>& load);

    /// Calls in flight from here to the instance.
    std::uint32_t in_flight(const instance_id& instance) const;

    /// Ejections and returns since the last call.
    std::vector<ejection_change> take_changes();

    /// Instances whose state is held.
    std::size_t size() const { return peers_.size(); }

private:
    struct peer_state {
        service_name service;
        time_point last_used;
        std::uint32_t in_flight = 0;
        std::optional<load_report> load;
        time_point load_at;
        instance_health health;
    };

    struct service_state {
        time_point last_used;
        std::optional<time_point> good_at;
        double spill_allowance = 0;
    };

    struct candidate {
        const member* entry = nullptr;
        const peer_state* peer = nullptr;
        int tier = 0;
        bool is_excluded = false;
        ejection_state state = ejection_state::in_use;

        bool is_usable() const;
    };
    using candidates = std::vector<candidate>;

    void collect(time_point now, const membership& members, const service_name& service,
                 const std::vector<instance_id>& excluded);
    void limit_ejections();
    const candidate* choose(time_point now, int tier, random_source& random) const;
    bool prefers(time_point now, const candidate& first, const candidate& second) const;
    service_state& service_of(time_point now, const service_name& service);
    void forget_unused(time_point now);

    location here_;
    routing_settings settings_;
    std::unordered_map<instance_id, peer_state> peers_;
    std::unordered_map<service_name, service_state> services_;
    std::vector<ejection_change> changes_;
    /// The members of the service in question; kept to reuse its memory.
    candidates candidates_;
    time_point next_sweep_;
};

} // namespace trefoil
