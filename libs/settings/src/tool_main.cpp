#include <trefoil/settings/tool_main.hpp>

#include <fmt/format.h>

#include <trefoil/base/log.hpp>
#include <trefoil/base/overloaded.hpp>

namespace trefoil {
namespace {

void log_refused(const setting_error& error) {
    write_log({log_event::setting_invalid,
               {{"name", error.name}, {"value", error.value}, {"allowed", error.allowed}}});
}

} // namespace

int tool_main(option_set& options, int argc, char** argv,
              const std::function<int(const run_program&)>& run) {
    return std::visit(overloaded{
                          [&](const run_program& program) { return run(program); },
                          [&](const show_help&) {
                              fmt::print("{}", options.help());
                              return 0;
                          },
                          [&](const show_version&) {
                              fmt::print("{} {}\n", options.program(), program_version);
                              return 0;
                          },
                          [](const settings_refused& refused) {
                              for (const auto& error : refused.errors) {
                                  log_refused(error);
                              }
                              return exit_bad_settings;
                          },
                      },
                      options.parse(argc, argv));
}

} // namespace trefoil
