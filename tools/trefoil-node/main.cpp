// The node process that runs beside a target instance.
#include <fmt/format.h>

#include <trefoil/base/log.hpp>
#include <trefoil/node/node_process.hpp>
#include <trefoil/settings/tool_main.hpp>

using namespace trefoil;

namespace {

int run_node(const node_settings& settings) {
    if (settings.check_only) {
        fmt::print("settings are good\n");
        return 0;
    }
    node_process process(settings);
    const auto opened = process.open();
    if (!opened.ok()) {
        write_log({log_event::listener_failed, {{"problem", std::string(opened.message())}}});
        return 1;
    }
    return process.run();
}

} // namespace

int main(int argc, char** argv) {
    node_settings settings;
    option_set options("trefoil-node", "overload control beside one target instance");
    declare_options(options, settings);
    return tool_main(options, argc, argv, [&](const run_program&) { return run_node(settings); });
}
