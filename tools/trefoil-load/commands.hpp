// The subcommands of trefoil-load. Each parses its own flags and returns the exit code.
#pragma once

namespace trefoil {

/// Sends the requests of a plan to running nodes.
int run_command(int argc, char** argv);

/// Runs experiments in an emulated fleet on a virtual clock.
int experiment_command(int argc, char** argv);

/// Measures the latency that two nodes add to calls of a target.
int compare_command(int argc, char** argv);

/// Measures events per second through one core.
int bench_core_command(int argc, char** argv);

} // namespace trefoil
