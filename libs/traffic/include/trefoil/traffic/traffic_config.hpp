// The operators' configuration of routes, services and limits, independent of its source.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <trefoil/base/ids.hpp>
#include <trefoil/base/time.hpp>
#include <trefoil/workspace/workspace.hpp>

namespace trefoil {

/// Whether a request may be executed more than once.
enum class repeatability : std::uint8_t { idempotent, at_most_once };

/// A service that receives a weighted fraction of a route's requests.
struct weighted_service {
    service_name service;
    std::uint32_t weight = 1;

    friend bool operator==(const weighted_service&, const weighted_service&) = default;
};

/// Maximum number of nodes that are tried for one request, whatever its route allows. Most of them
/// refuse before the request reaches their target.
inline constexpr std::uint32_t max_attempts_per_call = 5;

/// Services, limits and priority of the requests for one host and path prefix.
struct route {
    std::string name;
    /// Host in lower case, without a port.
    std::string host;
    /// Begins and ends with a slash.
    std::string path_prefix;
    repeatability repeats = repeatability::at_most_once;
    /// Services that the requests are divided among; at least one.
    std::vector<weighted_service> services;
    /// Longest time until a request is answered.
    duration timeout{0};
    /// Maximum number of instances that one request is sent to.
    std::uint32_t max_attempts = 1;
    /// 0 is the most important.
    std::uint32_t priority = 0;
    /// Desired latency: an answer within this time is worth more than a later one.
    duration target_latency{0};
    /// True if requests need no key, also where the configuration lists workspaces.
    bool is_public = false;

    friend bool operator==(const route&, const route&) = default;
};

/// Limits of each instance of a service.
struct service_limits {
    service_name service;
    /// Number of connections that one instance accepts from all callers together.
    std::uint32_t max_connections = 0;

    friend bool operator==(const service_limits&, const service_limits&) = default;
};

/// Limits on the size of client requests and on the time to send them.
struct sender_limits {
    std::uint64_t max_header_bytes = 16384;
    std::uint64_t max_body_bytes = 64U << 20U;
    duration header_timeout = 3s;
    duration idle_timeout = 15s;

    friend bool operator==(const sender_limits&, const sender_limits&) = default;
};

/// One version of the configuration. A higher version number is newer.
struct traffic_config {
    std::uint64_t version = 0;
    sender_limits limits;
    std::vector<route> routes;
    std::vector<service_limits> services;
    /// If the configuration lists workspaces, each request on a route that isn't public needs the
    /// key of one of them, even if the list is empty.
    std::optional<std::vector<workspace_entry>> workspaces;

    friend bool operator==(const traffic_config&, const traffic_config&) = default;
};

} // namespace trefoil
