// Common entry point of all programs.
#pragma once

#include <functional>

#include <trefoil/settings/option_set.hpp>

namespace trefoil {

/// Parses the settings, then runs the program, prints the help or the version, or logs each refused
/// setting. Returns the exit code: that of `run`, or exit_bad_settings for refused settings.
int tool_main(option_set& options, int argc, char** argv,
              const std::function<int(const run_program&)>& run);

} // namespace trefoil
