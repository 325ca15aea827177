// The process beside a target instance.
#include <fmt/format.h>

#include <trefoil/base/log.hpp>
#include <trefoil/base/overloaded.hpp>
#include <trefoil/node/node_process.hpp>

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
    return std::visit(overloaded{
                          [&](const run_program&) { return run_node(settings); },
                          [&](const show_help&) {
                              fmt::print("{}", options.help());
                              return 0;
                          },
                          [](const show_version&) {
                              fmt::print("trefoil-node {}\n", program_version);
                              return 0;
                          },
                          [](const settings_refused& refused) {
                              for (const auto& error : refused.errors) {
                                  write_log({log_event::setting_invalid,
                                             {{"name", error.name},
                                              {"value", error.value},
                                              {"allowed", error.allowed}}});
                              }
                              return exit_bad_settings;
                          },
                      },
                      options.parse(argc, argv));
}
