#include "check_routes.hpp"

#include <algorithm>
#include <unordered_set>

#include <fmt/format.h>

#include <trefoil/traffic/route_table.hpp>

namespace trefoil {
namespace {

/// Checks one route after the other and adds warnings.
class route_checker {
public:
    route_checker(const traffic_config& config, findings& found) : table_(config), found_(found) {}

    void check_all() {
        for (const auto& entry : table_.config().routes) {
            check_match(entry);
            check_name(entry);
            check_weights(entry);
            check_services(entry);
            check_times(entry);
            check_attempts(entry);
        }
    }

private:
    void add(finding_kind kind, const route& entry, std::string detail) {
        found_.push_back({kind, severity::warning, place_of(entry), std::move(detail)});
    }

    void check_match(const route& entry) {
        const auto& prefix = entry.path_prefix;
        const bool starts_path = prefix.empty() || prefix.starts_with('/');
        if (!starts_path || prefix.find('?') != std::string::npos) {
            add(finding_kind::unmatchable_prefix, entry,
                "matches no request: a path starts with a slash and has no question mark");
            return;
        }
        const auto matched = table_.find(entry.host, prefix);
        if (matched.get() != &entry) {
            add(finding_kind::shadowed_route, entry,
                fmt::format("gets no request: route '{}' has the same host and prefix and comes "
                            "first",
                            matched->name));
        }
    }

    void check_name(const route& entry) {
        if (!names_.insert(entry.name).second) {
            add(finding_kind::shared_route_name, entry,
                "an earlier route has this name: both share the order of their services, what is "
                "learned about their load and their lines in logs and metrics");
        }
    }

    void check_weights(const route& entry) {
        const auto& services = entry.services;
        const auto has_weight = [](const weighted_service& part) { return part.weight > 0; };
        if (std::none_of(services.begin(), services.end(), has_weight)) {
            add(finding_kind::no_weights, entry,
                "no service has a weight above 0: the first one gets all requests");
            return;
        }
        for (const auto& part : services) {
            if (!has_weight(part)) {
                add(finding_kind::unused_service, entry,
                    fmt::format("service '{}' has weight 0 and gets none of the requests",
                                part.service.str()));
            }
        }
    }

    void check_services(const route& entry) {
        const auto& listed = table_.config().services;
        for (const auto& part : entry.services) {
            const auto is_listed =
                std::any_of(listed.begin(), listed.end(), [&](const service_limits& limits) {
                    return limits.service == part.service;
                });
            if (!is_listed) {
                add(finding_kind::unknown_service, entry,
                    fmt::format("service '{}' is not among the listed services: its name may be "
                                "misspelled, and its connections are not limited",
                                part.service.str()));
            }
        }
    }

    void check_times(const route& entry) {
        if (entry.timeout <= duration{0}) {
            add(finding_kind::no_time, entry, "the timeout is 0: every request times out");
        } else if (entry.target_latency > entry.timeout) {
            add(finding_kind::target_latency_over_timeout, entry,
                fmt::format("the target latency of {} s is longer than the timeout of {} s: "
                            "requests end before they are late",
                            to_seconds(entry.target_latency), to_seconds(entry.timeout)));
        }
    }

    void check_attempts(const route& entry) {
        if (entry.max_attempts == 0) {
            add(finding_kind::attempts_out_of_range, entry,
                "no attempt is allowed: no request is sent to an instance");
        } else if (entry.max_attempts > max_attempts_per_call) {
            add(finding_kind::attempts_out_of_range, entry,
                fmt::format("{} attempts are allowed, but a node makes at most {}",
                            entry.max_attempts, max_attempts_per_call));
        }
    }

    route_table table_;
    findings& found_;
    std::unordered_set<std::string> names_;
};

} // namespace

route_place place_of(const route& entry) {
    return {entry.name, entry.host, entry.path_prefix};
}

void check_routes(const traffic_config& config, findings& found) {
    route_checker(config, found).check_all();
}

} // namespace trefoil
