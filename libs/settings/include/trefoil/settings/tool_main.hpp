// What every program does with its command line.
#pragma once

#include <functional>

#include <trefoil/settings/option_set.hpp>

namespace trefoil {

/// Parses the command line and runs the program, shows help or version, or logs each refused
/// setting. Returns the exit code: exit_bad_settings for refused settings.
int tool_main(option_set& options, int argc, char** argv,
              const std::function<int(const run_program&)>& run);

} // namespace trefoil
