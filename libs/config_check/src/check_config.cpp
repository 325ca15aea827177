#include <trefoil/config_check/check_config.hpp>

#include <algorithm>
#include <set>

#include <fmt/format.h>

#include "check_routes.hpp"

namespace trefoil {
namespace {

void add(findings& found, finding_kind kind, config_place place, std::string detail) {
    found.push_back({kind, severity::warning, std::move(place), std::move(detail)});
}

bool leads_to(const route& entry, const service_name& service) {
    return std::any_of(entry.services.begin(), entry.services.end(),
                       [&](const weighted_service& part) { return part.service == service; });
}

void check_services(const traffic_config& config, findings& found) {
    std::set<service_name> seen;
    for (const auto& listed : config.services) {
        if (!seen.insert(listed.service).second) {
            add(found, finding_kind::repeated_service, listed.service,
                "is listed more than once: only the first entry counts");
            continue;
        }
        const auto is_routed =
            std::any_of(config.routes.begin(), config.routes.end(),
                        [&](const route& entry) { return leads_to(entry, listed.service); });
        if (!is_routed) {
            add(found, finding_kind::unrouted_service, listed.service,
                "gets no request: no route leads to it");
        }
    }
}

void check_workspace(const workspace_entry& entry, findings& found) {
    if (entry.keys.empty()) {
        add(found, finding_kind::workspace_without_keys, entry.name,
            "has no key: no request can belong to it");
    }
    if (entry.limit && entry.limit->burst < 1) {
        add(found, finding_kind::burst_under_one_request, entry.name,
            fmt::format(
                "the burst of {} is less than one request, so that the limit would never "
                "let one in: nodes let single requests in all the same, up to {} per second",
                entry.limit->burst, entry.limit->requests_per_second));
    }
}

void check_workspaces(const traffic_config& config, findings& found) {
    if (!config.workspaces) {
        return;
    }
    const auto is_public = [](const route& entry) { return entry.is_public; };
    const bool needs_keys = !std::all_of(config.routes.begin(), config.routes.end(), is_public);
    if (config.workspaces->empty() && needs_keys) {
        add(found, finding_kind::no_workspaces, whole_config{},
            "the list of workspaces is empty: all requests on routes that aren't public are "
            "refused");
    }
    if (!config.workspaces->empty() && !needs_keys) {
        add(found, finding_kind::unneeded_keys, whole_config{},
            "all routes are public: the keys and limits of workspaces have no effect");
    }
    for (const auto& entry : *config.workspaces) {
        check_workspace(entry, found);
    }
}

void check_sender_limits(const sender_limits& limits, findings& found) {
    if (limits.header_timeout <= duration{0}) {
        add(found, finding_kind::no_time, whole_config{},
            "the header timeout is 0: a request whose head arrives in parts is refused");
    }
    if (limits.idle_timeout <= duration{0}) {
        add(found, finding_kind::no_time, whole_config{},
            "the idle timeout is 0: clients can't use a connection again");
    } else if (limits.header_timeout > limits.idle_timeout) {
        add(found, finding_kind::header_timeout_over_idle_timeout, whole_config{},
            fmt::format("the header timeout of {} s is longer than the idle timeout of {} s: a "
                        "slow client holds a connection longer than an idle one",
                        to_seconds(limits.header_timeout), to_seconds(limits.idle_timeout)));
    }
}

} // namespace

findings check_config(const traffic_config& config) {
    findings found;
    check_routes(config, found);
    check_services(config, found);
    check_workspaces(config, found);
    check_sender_limits(config.limits, found);
    return found;
}

} // namespace trefoil
