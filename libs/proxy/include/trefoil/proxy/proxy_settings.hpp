// What a proxy is told when it starts.
#pragma once

#include <cstdint>
#include <string>

#include <trefoil/base/endpoint.hpp>
#include <trefoil/base/ids.hpp>
#include <trefoil/base/time.hpp>
#include <trefoil/proxy/call_fields.hpp>
#include <trefoil/traffic/repeat_allowance.hpp>

namespace trefoil {

/// Settings of one proxy. They come from the adapter of the platform.
struct proxy_settings {
    /// Names this machine in the log.
    std::string name;
    domain_name domain;
    /// The service of the target on this machine.
    service_name service;
    /// The target on this machine.
    endpoint target;
    /// Takes the requests that begin on this machine.
    endpoint caller_listener;
    /// Takes the requests of other proxies. The port is the same on all machines.
    endpoint peer_listener;
    /// Answers whether callers should use this proxy.
    endpoint ready_listener;
    /// Serves the metrics.
    endpoint metrics_listener;
    call_fields fields;
    fleet_repeat_bound repeats;
    /// Time in which an instance that leaves must be left alone.
    duration drain_time = 2s;
    /// Time in which a new configuration must be in force.
    duration config_time = 2s;
    /// Time between the signal to stop and the end by force.
    duration stop_time = 6s;

    friend bool operator==(const proxy_settings&, const proxy_settings&) = default;
};

} // namespace trefoil
