// Startup settings of a proxy.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include <trefoil/base/endpoint.hpp>
#include <trefoil/base/ids.hpp>
#include <trefoil/base/time.hpp>
#include <trefoil/proxy/header_field_names.hpp>
#include <trefoil/quota/quota_bounds.hpp>
#include <trefoil/traffic/fleet_retry_limiter.hpp>

namespace trefoil {

/// Settings of one proxy, provided by the adapter of the platform.
struct proxy_settings {
    /// Name of this machine in the log.
    std::string name;
    /// Failure domain of this machine.
    domain_name domain;
    /// Service of the target on this machine.
    service_name service;
    /// Address of the target on this machine.
    endpoint target;
    /// Accepts requests from callers on this machine.
    endpoint caller_listener;
    /// Accepts requests from other proxies. The port is the same on all machines.
    endpoint peer_listener;
    /// Readiness endpoint; reports whether callers should use this proxy.
    endpoint ready_listener;
    /// Serves the metrics.
    endpoint metrics_listener;
    /// Names of the header fields that the proxy reads and writes.
    header_field_names header_names;
    /// Bound on the retries of all nodes together.
    fleet_retry_bound retry_bound;
    /// Time after a disturbance from which the node must meet its other time bounds again.
    duration stable_window = 3s;
    /// Time within which all nodes must stop sending requests to an instance that is leaving.
    duration drain_time = 2s;
    /// Time within which a new configuration must take effect.
    duration config_apply_time = 2s;
    /// Time after which a key that was taken away admits no request on any node, in touch or not;
    /// empty if nodes out of touch may admit requests by the keys that they know.
    std::optional<duration> revocation_bound;
    /// Bounds on what all nodes together admit beyond the limits of workspaces.
    quota_bounds quota;
    /// Time between the stop signal and forced termination.
    duration stop_timeout = 6s;

    friend bool operator==(const proxy_settings&, const proxy_settings&) = default;
};

} // namespace trefoil
