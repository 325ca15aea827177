// The subcommands of trefoil-load, each in a source file of its own.
#pragma once

namespace trefoil {

/// Runs experiments under a paused clock. The arguments begin with the subcommand's name.
int experiment_command(int argc, char** argv);

} // namespace trefoil
