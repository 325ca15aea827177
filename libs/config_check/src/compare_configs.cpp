#include <trefoil/config_check/compare_configs.hpp>

#include <algorithm>

#include <fmt/format.h>

#include "compare_routes.hpp"
#include "compare_workspaces.hpp"

namespace trefoil {
namespace {

void compare_versions(const traffic_config& before, const traffic_config& after, findings& found) {
    if (after.version <= before.version && after != before) {
        found.push_back({finding_kind::version_not_higher, severity::error, whole_config{},
                         fmt::format("version {} is not higher than version {}: running nodes "
                                     "ignore it",
                                     after.version, before.version)});
    }
}

const service_limits* find_service(const traffic_config& config, const service_name& name) {
    const auto found = std::find_if(config.services.begin(), config.services.end(),
                                    [&](const auto& listed) { return listed.service == name; });
    return found == config.services.end() ? nullptr : &*found;
}

void compare_services(const traffic_config& before, const traffic_config& after, findings& found) {
    for (const auto& listed : after.services) {
        if (find_service(after, listed.service) != &listed) {
            continue;
        }
        const auto* old = find_service(before, listed.service);
        if (old == nullptr) {
            found.push_back({finding_kind::service_added, severity::note, listed.service,
                             fmt::format("is new, with {} connections to each instance",
                                         listed.max_connections)});
        } else if (old->max_connections != listed.max_connections) {
            const bool is_less = listed.max_connections < old->max_connections;
            found.push_back({finding_kind::connections_changed,
                             is_less ? severity::warning : severity::note, listed.service,
                             fmt::format("each instance accepts {} connections; it was {}",
                                         listed.max_connections, old->max_connections)});
        }
    }
    for (const auto& old : before.services) {
        if (find_service(before, old.service) == &old &&
            find_service(after, old.service) == nullptr) {
            found.push_back({finding_kind::service_removed, severity::warning, old.service,
                             "is no longer listed"});
        }
    }
}

/// Adds a change of a limit on what clients send.
template <class Value>
void compare_limit(std::string_view name, std::string_view unit, Value before, Value after,
                   findings& found) {
    if (before != after) {
        found.push_back(
            {finding_kind::sender_limit_changed,
             after < before ? severity::warning : severity::note, whole_config{},
             fmt::format("the {} is {} {}; it was {} {}", name, after, unit, before, unit)});
    }
}

void compare_sender_limits(const sender_limits& before, const sender_limits& after,
                           findings& found) {
    compare_limit("largest head of a request", "bytes", before.max_header_bytes,
                  after.max_header_bytes, found);
    compare_limit("largest body of a request", "bytes", before.max_body_bytes, after.max_body_bytes,
                  found);
    compare_limit("header timeout of a request", "s", to_seconds(before.header_timeout),
                  to_seconds(after.header_timeout), found);
    compare_limit("idle timeout of a connection", "s", to_seconds(before.idle_timeout),
                  to_seconds(after.idle_timeout), found);
}

} // namespace

findings compare_configs(const traffic_config& before, const traffic_config& after,
                         std::uint64_t key_salt) {
    findings found;
    compare_versions(before, after, found);
    compare_routes(before, after, found);
    compare_services(before, after, found);
    compare_workspaces(before, after, key_salt, found);
    compare_sender_limits(before.limits, after.limits, found);
    return found;
}

} // namespace trefoil
