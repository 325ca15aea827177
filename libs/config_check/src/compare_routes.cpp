#include "compare_routes.hpp"

#include <algorithm>
#include <set>

#include <fmt/format.h>

#include <trefoil/traffic/route_table.hpp>

#include "check_routes.hpp"

namespace trefoil {
namespace {

std::string services_text(const route& entry) {
    std::string text;
    for (const auto& part : entry.services) {
        text += fmt::format("{}{} (weight {})", text.empty() ? "" : ", ", part.service.str(),
                            part.weight);
    }
    return text;
}

/// The services that get requests of the route.
std::set<service_name> used_services(const route& entry) {
    std::set<service_name> used;
    for (const auto& part : entry.services) {
        if (part.weight > 0 || entry.services.size() == 1) {
            used.insert(part.service);
        }
    }
    return used;
}

severity warning_if(bool takes_from_callers) {
    return takes_from_callers ? severity::warning : severity::note;
}

/// Compares a route with the one of the same host and prefix in the configuration in force.
class route_comparison {
public:
    route_comparison(const route& before, const route& after, findings& found)
        : before_(before), after_(after), found_(found) {}

    void compare() {
        compare_names();
        compare_services();
        compare_times();
        compare_attempts();
        compare_repeatability();
        compare_priorities();
        compare_access();
    }

private:
    void add(finding_kind kind, severity level, std::string detail) {
        found_.push_back({kind, level, place_of(after_), std::move(detail)});
    }

    void compare_names() {
        if (before_.name != after_.name) {
            add(finding_kind::route_renamed, severity::note,
                fmt::format("the name was '{}': what is learned about the load of the route "
                            "starts anew, and logs and metrics have the new name",
                            before_.name));
        }
    }

    void compare_services() {
        const bool has_one = before_.services.size() == 1 && after_.services.size() == 1;
        const bool is_same_service = used_services(before_) == used_services(after_);
        if (before_.services == after_.services || (has_one && is_same_service)) {
            return;
        }
        const auto change = fmt::format("requests go to {}; they went to {}", services_text(after_),
                                        services_text(before_));
        if (is_same_service) {
            add(finding_kind::weights_changed, severity::note, change);
        } else {
            add(finding_kind::services_changed, severity::warning, change);
        }
    }

    void compare_times() {
        if (before_.timeout != after_.timeout) {
            const bool is_shorter = after_.timeout < before_.timeout;
            add(finding_kind::timeout_changed, warning_if(is_shorter),
                fmt::format("requests time out after {} s; it was {} s", to_seconds(after_.timeout),
                            to_seconds(before_.timeout)));
        }
        if (before_.target_latency != after_.target_latency) {
            add(finding_kind::target_latency_changed, severity::note,
                fmt::format("answers are late after {} s; it was {} s",
                            to_seconds(after_.target_latency), to_seconds(before_.target_latency)));
        }
    }

    void compare_attempts() {
        if (before_.max_attempts != after_.max_attempts) {
            const bool is_fewer = after_.max_attempts < before_.max_attempts;
            add(finding_kind::attempts_changed, warning_if(is_fewer),
                fmt::format("a request is sent to at most {} instances; it was {}",
                            after_.max_attempts, before_.max_attempts));
        }
    }

    void compare_repeatability() {
        if (before_.repeats == after_.repeats) {
            return;
        }
        if (after_.repeats == repeatability::idempotent) {
            add(finding_kind::repeatability_changed, severity::warning,
                "requests count as idempotent now: one whose answer is lost may run twice");
        } else {
            add(finding_kind::repeatability_changed, severity::warning,
                "requests run at most once now: one whose answer is lost fails");
        }
    }

    void compare_priorities() {
        if (before_.priority != after_.priority) {
            const bool is_less_important = after_.priority > before_.priority;
            add(finding_kind::priority_changed, warning_if(is_less_important),
                fmt::format("the priority is {}, it was {}: requests are refused {} others under "
                            "load",
                            after_.priority, before_.priority,
                            is_less_important ? "before" : "after"));
        }
    }

    void compare_access() {
        if (before_.is_public == after_.is_public) {
            return;
        }
        if (after_.is_public) {
            add(finding_kind::route_access_changed, severity::warning,
                "the route is public now: requests need no key");
        } else {
            add(finding_kind::route_access_changed, severity::warning,
                "the route is no longer public: where workspaces are listed, requests without a "
                "key are refused");
        }
    }

    const route& before_;
    const route& after_;
    findings& found_;
};

/// True if requests can reach the route.
bool is_reachable(const route_table& table, const route& entry) {
    return table.find(entry.host, entry.path_prefix).get() == &entry;
}

void compare_present(const route_table& old_table, const route& entry, findings& found) {
    const auto old = old_table.find(entry.host, entry.path_prefix);
    if (old != nullptr && old->path_prefix == entry.path_prefix) {
        route_comparison(*old, entry, found).compare();
        return;
    }
    const auto former_answer = old == nullptr
                                   ? std::string("its requests were answered with status 404")
                                   : fmt::format("its requests took route '{}'", old->name);
    found.push_back(
        {finding_kind::route_added, severity::note, place_of(entry),
         fmt::format("is new and leads to {}; {}", services_text(entry), former_answer)});
}

void add_if_removed(const route_table& new_table, const route& entry, findings& found) {
    const auto next = new_table.find(entry.host, entry.path_prefix);
    if (next != nullptr && next->path_prefix == entry.path_prefix) {
        return;
    }
    const auto answer = next == nullptr ? std::string("its requests are answered with status 404")
                                        : fmt::format("its requests take route '{}' to {}",
                                                      next->name, services_text(*next));
    found.push_back({finding_kind::route_removed, severity::warning, place_of(entry),
                     fmt::format("is gone; {}", answer)});
}

} // namespace

void compare_routes(const traffic_config& before, const traffic_config& after, findings& found) {
    const route_table old_table(before);
    const route_table new_table(after);
    for (const auto& entry : new_table.config().routes) {
        if (is_reachable(new_table, entry)) {
            compare_present(old_table, entry, found);
        }
    }
    for (const auto& entry : old_table.config().routes) {
        if (is_reachable(old_table, entry)) {
            add_if_removed(new_table, entry, found);
        }
    }
}

} // namespace trefoil
