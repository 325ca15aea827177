// The command `trefoil-report trace`, which finds the cause of a request's result.
#pragma once

/// Reads logs and prints the traces of requests. Takes the arguments after `trefoil-report`.
/// Returns the exit code, which is 1 if the logs don't contain the request with the given id.
int run_trace(int argc, char** argv);
