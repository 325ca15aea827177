#include <trefoil/config_check/report.hpp>

#include <algorithm>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <trefoil/base/overloaded.hpp>

namespace trefoil {
namespace {

std::string text_of(const config_place& place) {
    return std::visit(
        overloaded{
            [](const whole_config&) { return std::string("configuration"); },
            [](const route_place& route) {
                return fmt::format("route '{}' ({} {})", route.name, route.host, route.path_prefix);
            },
            [](const service_name& service) { return fmt::format("service '{}'", service.str()); },
            [](const workspace_name& workspace) {
                return fmt::format("workspace '{}'", workspace.str());
            },
        },
        place);
}

void add_place(nlohmann::ordered_json& object, const config_place& place) {
    std::visit(overloaded{
                   [](const whole_config&) {},
                   [&](const route_place& route) {
                       object["route"] = route.name;
                       object["host"] = route.host;
                       object["path_prefix"] = route.path_prefix;
                   },
                   [&](const service_name& service) { object["service"] = service.str(); },
                   [&](const workspace_name& workspace) { object["workspace"] = workspace.str(); },
               },
               place);
}

/// Replaces bytes that are not UTF-8, which may stand in names.
std::string to_line(const nlohmann::ordered_json& object) {
    constexpr int no_indent = -1;
    return object.dump(no_indent, ' ', false, nlohmann::ordered_json::error_handler_t::replace) +
           "\n";
}

} // namespace

int exit_code_for(const findings& found) {
    const auto has = [&](severity level) {
        return std::any_of(found.begin(), found.end(),
                           [&](const finding& one) { return one.level == level; });
    };
    if (has(severity::error)) {
        return exit_errors;
    }
    return has(severity::warning) ? exit_warnings : exit_clean;
}

std::string to_text(std::string_view file, const findings& found) {
    std::string text;
    for (const auto& one : found) {
        text += fmt::format("{}: {}: {}: {}: {}\n", file, name_of(one.level), text_of(one.place),
                            name_of(one.kind), one.detail);
    }
    return text;
}

std::string to_json(std::string_view file, const findings& found) {
    std::string lines;
    for (const auto& one : found) {
        nlohmann::ordered_json object;
        object["file"] = file;
        object["severity"] = name_of(one.level);
        object["kind"] = name_of(one.kind);
        add_place(object, one.place);
        object["detail"] = one.detail;
        lines += to_line(object);
    }
    return lines;
}

} // namespace trefoil
