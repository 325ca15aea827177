// Stateful fuzzing of a small fleet.
#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <trefoil/faults/trial.hpp>

namespace trefoil {

/// How much to try. The same settings give the same trials.
struct fuzz_settings {
    std::uint64_t seed = 1;
    int trials = 100;
    /// Greatest number of commands in a trial.
    int max_commands = 100;
    /// Commands that are left out, to look for further failures behind a known one.
    std::set<command_type> without;
};

/// The shortest trial found that violates an invariant.
struct fuzz_failure {
    std::uint64_t trial_seed = 0;
    std::vector<command> commands;
    std::vector<violation> violations;
    std::vector<std::string> log;
};

/// Runs trials of generated commands; on a violation shrinks the commands and returns the failure.
std::optional<fuzz_failure> fuzz(const fuzz_settings& settings);

/// Runs the commands of one trial and everything that finish() checks.
std::vector<violation> replay(std::uint64_t trial_seed, const std::vector<command>& commands);

/// The failure as text: what was violated, the commands, and what happened.
std::string to_string(const fuzz_failure& failure);

} // namespace trefoil
