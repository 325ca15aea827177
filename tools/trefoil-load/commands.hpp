// The subcommands of trefoil-load. Each reads its own flags and returns the exit code.
#pragma once

namespace trefoil {

/// Sends the requests of a plan to running nodes.
int run_command(int argc, char** argv);

/// Runs experiments under a paused clock.
int experiment_command(int argc, char** argv);

/// Compares a target's latency with and without two nodes in between.
int compare_command(int argc, char** argv);

/// Measures events a second through one core.
int bench_core_command(int argc, char** argv);

} // namespace trefoil
