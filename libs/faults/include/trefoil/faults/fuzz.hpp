// Stateful, property-based fuzzing of a small fleet.
#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <trefoil/faults/trial.hpp>

namespace trefoil {

/// Extent of a fuzzing run. The same settings give the same trials.
struct fuzz_settings {
    std::uint64_t seed = 1;
    int trials = 100;
    /// Maximum number of commands in a trial.
    int max_commands = 100;
    /// Command types to leave out, in order to find failures other than a known one.
    std::set<command_type> without;
};

/// The shortest trial found that violates an invariant, with its violations and log.
struct fuzz_failure {
    std::uint64_t trial_seed = 0;
    std::vector<command> commands;
    std::vector<violation> violations;
    std::vector<std::string> log;
};

/// Runs trials of generated commands. On a violation, shrinks the commands and returns the failure;
/// returns nullopt if all trials pass.
std::optional<fuzz_failure> fuzz(const fuzz_settings& settings);

/// Runs the commands of one trial, then trial::finish(), and returns the violations.
std::vector<violation> replay(std::uint64_t trial_seed, const std::vector<command>& commands);

/// The failure as text: the violations, the commands as C++ initializers, and the log.
std::string to_string(const fuzz_failure& failure);

} // namespace trefoil
