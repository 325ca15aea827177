// Checks a configuration before it is sent to the platform.
#include <random>

#include <fmt/format.h>

#include <trefoil/base/overloaded.hpp>
#include <trefoil/base/read_file.hpp>
#include <trefoil/config_check/check_config.hpp>
#include <trefoil/config_check/compare_configs.hpp>
#include <trefoil/config_check/report.hpp>
#include <trefoil/platform/store_items.hpp>
#include <trefoil/settings/option_set.hpp>

using namespace trefoil;

namespace {

constexpr std::string_view usage = "trefoil-config check FILE [--against FILE] [--json]\n";

struct config_options {
    std::string against;
    bool prints_json = false;
};

/// Decodes a configuration as a node does. Returns the problem at which a node would refuse it.
std::variant<traffic_config, unreadable_item> decode_config(const std::string& text) {
    auto change = platform::decode_item(platform::key_prefix(registry_topic::config), text);
    if (auto* config = std::get_if<traffic_config>(&change)) {
        return std::move(*config);
    }
    return std::get<unreadable_item>(std::move(change));
}

/// Reads a file; prints an error if it can't be read.
std::optional<std::string> read_or_report(const std::string& path) {
    auto text = read_file(path);
    if (!text) {
        fmt::print(stderr, "{}: cannot read file\n", path);
    }
    return text;
}

findings check_texts(const std::string& text, const std::optional<std::string>& former_text) {
    const auto decoded = decode_config(text);
    if (const auto* refused = std::get_if<unreadable_item>(&decoded)) {
        return {{finding_kind::unreadable, severity::error, whole_config{}, refused->problem}};
    }
    const auto& config = std::get<traffic_config>(decoded);
    auto found = check_config(config);
    if (!former_text) {
        return found;
    }
    const auto former = decode_config(*former_text);
    if (const auto* refused = std::get_if<unreadable_item>(&former)) {
        found.push_back({finding_kind::former_unreadable, severity::error, whole_config{},
                         "not compared: " + refused->problem});
        return found;
    }
    const auto differences =
        compare_configs(std::get<traffic_config>(former), config, std::random_device{}());
    found.insert(found.end(), differences.begin(), differences.end());
    return found;
}

int check(const std::string& path, const config_options& options) {
    const auto text = read_or_report(path);
    if (!text) {
        return exit_not_checked;
    }
    std::optional<std::string> former_text;
    if (!options.against.empty()) {
        former_text = read_or_report(options.against);
        if (!former_text) {
            return exit_not_checked;
        }
    }
    const auto found = check_texts(*text, former_text);
    fmt::print("{}", options.prints_json ? to_json(path, found) : to_text(path, found));
    return exit_code_for(found);
}

int run_command(const config_options& options, const std::vector<std::string>& operands) {
    if (operands.size() == 2 && operands.front() == "check") {
        return check(operands.back(), options);
    }
    fmt::print(stderr, "{}", usage);
    return exit_not_checked;
}

} // namespace

int main(int argc, char** argv) {
    config_options chosen;
    option_set options("trefoil-config", "checks a configuration before it is sent");
    options.add_text("against", &chosen.against, "file with the configuration in force", false);
    options.add_switch("json", &chosen.prints_json, "prints one JSON object for each finding");
    return std::visit(
        overloaded{
            [&](const run_program& run) { return run_command(chosen, run.positional); },
            [&](const show_help&) {
                fmt::print("{}\n{}", usage, options.help());
                return exit_clean;
            },
            [](const show_version&) {
                fmt::print("trefoil-config {}\n", program_version);
                return exit_clean;
            },
            [](const settings_refused& refused) {
                for (const auto& error : refused.errors) {
                    fmt::print(stderr, "{}\n", to_string(error));
                }
                return exit_not_checked;
            },
        },
        options.parse(argc, argv));
}
