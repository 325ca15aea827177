// Chooses the instance that a call is sent to.
#pragma once

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include <trefoil/base/random.hpp>
#include <trefoil/base/time.hpp>
#include <trefoil/membership/membership.hpp>
#include <trefoil/wire/call_context.hpp>

namespace trefoil {

/// Where the choosing node itself stands.
struct location {
    domain_name domain;
    region_name region;

    friend bool operator==(const location&, const location&) = default;
};

/// How an attempt at an instance ended, as far as routing is concerned.
enum class attempt_result : std::uint8_t {
    /// A complete answer of the target.
    answered,
    /// Refused because of load.
    refused_load,
    /// Refused because the instance is leaving.
    refused_leaving,
    /// Refused for a reason that lies in the request.
    refused_request,
    /// No connection, a lost connection or no answer in time.
    failed,
};

/// Power of two choices (Mitzenmacher 2001) over the calls in flight from here and the load that
/// the instance last reported, discounted by its age. Own failure domain first, then own region,
/// then elsewhere.
class router {
public:
    explicit router(location here) : here_(std::move(here)) {}

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

private:
    struct peer_state {
        std::uint32_t in_flight = 0;
        std::optional<load_report> load;
        time_point load_at;
    };

    double cost_of(time_point now, const instance_id& instance) const;

    location here_;
    std::unordered_map<instance_id, peer_state> peers_;
};

} // namespace trefoil
