#include <trefoil/config_check/finding.hpp>

namespace trefoil {

std::string_view name_of(severity level) {
    switch (level) {
    case severity::note:
        return "note";
    case severity::warning:
        return "warning";
    case severity::error:
        return "error";
    }
    return "unknown";
}

std::string_view name_of(finding_kind kind) {
    switch (kind) {
    case finding_kind::unreadable:
        return "unreadable";
    case finding_kind::former_unreadable:
        return "former_unreadable";
    case finding_kind::shadowed_route:
        return "shadowed_route";
    case finding_kind::unmatchable_prefix:
        return "unmatchable_prefix";
    case finding_kind::shared_route_name:
        return "shared_route_name";
    case finding_kind::unused_service:
        return "unused_service";
    case finding_kind::no_weights:
        return "no_weights";
    case finding_kind::unknown_service:
        return "unknown_service";
    case finding_kind::repeated_service:
        return "repeated_service";
    case finding_kind::unrouted_service:
        return "unrouted_service";
    case finding_kind::workspace_without_keys:
        return "workspace_without_keys";
    case finding_kind::no_workspaces:
        return "no_workspaces";
    case finding_kind::unneeded_keys:
        return "unneeded_keys";
    case finding_kind::no_time:
        return "no_time";
    case finding_kind::target_latency_over_timeout:
        return "target_latency_over_timeout";
    case finding_kind::attempts_out_of_range:
        return "attempts_out_of_range";
    case finding_kind::burst_under_one_request:
        return "burst_under_one_request";
    case finding_kind::header_timeout_over_idle_timeout:
        return "header_timeout_over_idle_timeout";
    case finding_kind::version_not_higher:
        return "version_not_higher";
    case finding_kind::route_removed:
        return "route_removed";
    case finding_kind::route_added:
        return "route_added";
    case finding_kind::route_renamed:
        return "route_renamed";
    case finding_kind::services_changed:
        return "services_changed";
    case finding_kind::weights_changed:
        return "weights_changed";
    case finding_kind::timeout_changed:
        return "timeout_changed";
    case finding_kind::target_latency_changed:
        return "target_latency_changed";
    case finding_kind::attempts_changed:
        return "attempts_changed";
    case finding_kind::repeatability_changed:
        return "repeatability_changed";
    case finding_kind::priority_changed:
        return "priority_changed";
    case finding_kind::route_access_changed:
        return "route_access_changed";
    case finding_kind::service_removed:
        return "service_removed";
    case finding_kind::service_added:
        return "service_added";
    case finding_kind::connections_changed:
        return "connections_changed";
    case finding_kind::sender_limit_changed:
        return "sender_limit_changed";
    case finding_kind::keys_required:
        return "keys_required";
    case finding_kind::keys_not_required:
        return "keys_not_required";
    case finding_kind::workspace_removed:
        return "workspace_removed";
    case finding_kind::workspace_added:
        return "workspace_added";
    case finding_kind::keys_removed:
        return "keys_removed";
    case finding_kind::keys_added:
        return "keys_added";
    case finding_kind::keys_moved:
        return "keys_moved";
    case finding_kind::workspace_limit_changed:
        return "workspace_limit_changed";
    }
    return "unknown";
}

} // namespace trefoil
