// The node process that runs beside a target on the users' platform.
#include <chrono>
#include <csignal>
#include <cstdlib>

#include <fmt/format.h>
#include <uv.h>

#include <trefoil/base/hash.hpp>
#include <trefoil/base/log.hpp>
#include <trefoil/platform/settings_file.hpp>
#include <trefoil/platform/store_client.hpp>
#include <trefoil/proxy/proxy_node.hpp>
#include <trefoil/settings/tool_main.hpp>

using namespace trefoil;

namespace {

struct tool_settings {
    std::string path;
    bool check_only = false;
};

absl::StatusOr<proxy_settings> reload(const std::string& path) {
    const auto read = platform::read_settings(path);
    if (!read.ok()) {
        return read.status();
    }
    return read->proxy;
}

/// Returns a seed that differs between machines and between the starts of a process.
std::uint64_t seed_of(const proxy_settings& settings) {
    const auto time = std::chrono::steady_clock::now().time_since_epoch().count();
    return mix_hash(stable_hash(settings.name), static_cast<std::uint64_t>(time));
}

int run(const tool_settings& settings) {
    const char* path_from_environment = std::getenv(platform::settings_path_variable);
    const std::string path = settings.path.empty() && path_from_environment != nullptr
                                 ? path_from_environment
                                 : settings.path;
    const auto read = platform::read_settings(path);
    if (!read.ok()) {
        write_log(
            {log_event::setting_invalid, {{"problem", std::string(read.status().message())}}});
        return exit_bad_settings;
    }
    if (settings.check_only) {
        fmt::print("settings are good\n");
        return 0;
    }
    std::signal(SIGPIPE, SIG_IGN);
    auto* loop = uv_default_loop();
    platform_access sources;
    sources.registry = platform::make_store_client(loop, read->store_address);
    sources.reload = [path] { return reload(path); };
    proxy_node node(loop, read->proxy, std::move(sources), seed_of(read->proxy));
    const auto opened = node.open();
    if (!opened.ok()) {
        write_log({log_event::listener_failed, {{"problem", std::string(opened.message())}}});
        return 1;
    }
    const int code = node.run();
    // Handles that are still closing hold memory, which is released when the process exits.
    std::_Exit(code);
}

} // namespace

int main(int argc, char** argv) {
    tool_settings settings;
    option_set options("trefoil-proxy", "overload control beside one target on a platform");
    options.add_text("settings-file", &settings.path,
                     fmt::format("the platform's settings file; by default the path in {}",
                                 platform::settings_path_variable),
                     false);
    options.add_switch("check-settings", &settings.check_only,
                       "check the settings file, report what is wrong and end");
    return tool_main(options, argc, argv, [&](const run_program&) { return run(settings); });
}
