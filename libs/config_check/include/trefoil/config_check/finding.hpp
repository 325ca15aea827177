// What the checks of a configuration report.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include <trefoil/base/ids.hpp>

namespace trefoil {

/// Consequence of a finding.
enum class severity : std::uint8_t {
    /// A difference that takes nothing away from callers.
    note,
    /// Nodes use the configuration, but a part of it has no effect, contradicts another part or
    /// takes something away from callers.
    warning,
    /// Nodes refuse or ignore the configuration.
    error,
};

std::string_view name_of(severity level);

/// What was found.
enum class finding_kind : std::uint8_t {
    /// The nodes' decoder refuses the configuration.
    unreadable,
    /// The configuration to compare with is refused by the decoder, so that nothing is compared.
    former_unreadable,

    /// An earlier route has the same host and prefix.
    shadowed_route,
    /// The prefix is not the start of any path.
    unmatchable_prefix,
    /// Another route has the same name.
    shared_route_name,
    /// A service of a route has weight 0.
    unused_service,
    /// All services of a route have weight 0.
    no_weights,
    /// A route leads to a service that is not listed.
    unknown_service,
    /// A service is listed more than once.
    repeated_service,
    /// No route leads to a listed service.
    unrouted_service,
    /// A workspace has no keys.
    workspace_without_keys,
    /// The list of workspaces is empty.
    no_workspaces,
    /// There are workspaces with keys, but all routes are public.
    unneeded_keys,

    /// A time limit is 0.
    no_time,
    /// The target latency of a route is longer than its timeout.
    target_latency_over_timeout,
    /// The maximum number of attempts is 0 or more than a node makes.
    attempts_out_of_range,
    /// A workspace has a burst of less than one request.
    burst_under_one_request,
    /// A client may take longer for a head than a connection may be idle.
    header_timeout_over_idle_timeout,

    /// The version is not higher than the one to compare with.
    version_not_higher,
    route_removed,
    route_added,
    route_renamed,
    services_changed,
    weights_changed,
    timeout_changed,
    target_latency_changed,
    attempts_changed,
    repeatability_changed,
    priority_changed,
    /// Whether requests on a route need a key.
    route_access_changed,
    service_removed,
    service_added,
    connections_changed,
    sender_limit_changed,
    keys_required,
    keys_not_required,
    workspace_removed,
    workspace_added,
    keys_removed,
    keys_added,
    /// Keys of one workspace now identify another.
    keys_moved,
    workspace_limit_changed,
};

std::string_view name_of(finding_kind kind);

/// The configuration as a whole.
struct whole_config {
    friend bool operator==(const whole_config&, const whole_config&) = default;
};

/// A route of the configuration.
struct route_place {
    std::string name;
    std::string host;
    std::string path_prefix;

    friend bool operator==(const route_place&, const route_place&) = default;
};

/// Part of a configuration that a finding is about.
using config_place = std::variant<whole_config, route_place, service_name, workspace_name>;

/// One result of a check.
struct finding {
    finding_kind kind = finding_kind::unreadable;
    severity level = severity::note;
    config_place place;
    /// What was found and what it means for callers, in one sentence. Contains no key of a
    /// workspace.
    std::string detail;

    friend bool operator==(const finding&, const finding&) = default;
};

using findings = std::vector<finding>;

} // namespace trefoil
