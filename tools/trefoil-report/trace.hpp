// The command that leads from a request's id to its cause.
#pragma once

/// Reads logs and prints the stories of requests; arguments are those after `trefoil-report`.
/// Returns the exit code: 1 if a request is not in the logs.
int run_trace(int argc, char** argv);
