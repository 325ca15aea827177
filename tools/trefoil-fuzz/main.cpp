// Runs the stateful fuzzer over many seeds, and prints the fault matrix.
#include <algorithm>

#include <fmt/format.h>

#include <trefoil/base/overloaded.hpp>
#include <trefoil/faults/fault_matrix.hpp>
#include <trefoil/faults/fuzz.hpp>
#include <trefoil/settings/option_set.hpp>

using namespace trefoil;

namespace {

struct fuzz_options {
    std::uint64_t seed = 1;
    std::uint64_t steps = 1000;
    std::uint64_t commands = 80;
    std::string without;
    std::string cell;
    bool matrix = false;
};

// Returns the command types whose names are in the comma-separated list.
std::set<command_type> parse_commands(const std::string& list) {
    std::set<command_type> found;
    for (std::size_t i = 0; i < command_type_count; ++i) {
        const auto type = static_cast<command_type>(i);
        if ((',' + list + ',').find(fmt::format(",{},", name_of(type))) != std::string::npos) {
            found.insert(type);
        }
    }
    return found;
}

int run_fuzz(const fuzz_options& options) {
    constexpr std::uint64_t trials_per_seed = 100;
    std::uint64_t failures = 0;
    auto seed = options.seed;
    for (std::uint64_t done = 0; done < options.steps; done += trials_per_seed, ++seed) {
        const auto trials = std::min(trials_per_seed, options.steps - done);
        const auto failure =
            fuzz({seed, static_cast<int>(trials), static_cast<int>(options.commands),
                  parse_commands(options.without)});
        if (failure) {
            ++failures;
            fmt::print("seed {} fails\n{}\n", seed, to_string(*failure));
            std::fflush(stdout);
        }
    }
    fmt::print("{} trials from seed {}: {} seeds failed\n", options.steps, options.seed, failures);
    return failures == 0 ? 0 : 1;
}

int run_matrix() {
    std::vector<cell_result> results;
    for (const auto& cell : all_cells()) {
        results.push_back(run_cell(cell));
    }
    fmt::print("{}", to_markdown(results));
    return 0;
}

int run_one_cell(const std::string& name) {
    for (const auto& cell : all_cells()) {
        if (to_string(cell) != name) {
            continue;
        }
        const auto result = run_cell(cell);
        for (const auto& line : result.log) {
            fmt::print("{}\n", line);
        }
        for (const auto& one : result.violations) {
            fmt::print("violated {}: {}\n", name_of(one.broken), one.detail);
        }
        return result.violations.empty() ? 0 : 1;
    }
    fmt::print(stderr, "unknown cell \"{}\"\n", name);
    return exit_bad_settings;
}

} // namespace

int main(int argc, char** argv) {
    fuzz_options options;
    option_set settings("trefoil-fuzz",
                        "tries random sequences of commands and faults on a small fleet");
    settings.add_count("seed", &options.seed, 0, UINT64_MAX, "", "first seed of the trials");
    settings.add_count("steps", &options.steps, 1, 1'000'000'000, "trials", "number of trials");
    settings.add_count("commands", &options.commands, 1, 1000, "commands",
                       "maximum number of commands in a trial");
    settings.add_text("without", &options.without, "comma-separated names of commands to exclude",
                      false);
    settings.add_switch("matrix", &options.matrix, "print the fault matrix as Markdown instead");
    settings.add_text("cell", &options.cell, "print the log of one cell of the matrix instead",
                      false);
    return std::visit(overloaded{
                          [&](const run_program&) {
                              if (!options.cell.empty()) {
                                  return run_one_cell(options.cell);
                              }
                              return options.matrix ? run_matrix() : run_fuzz(options);
                          },
                          [&](const show_help&) {
                              fmt::print("{}", settings.help());
                              return 0;
                          },
                          [](const show_version&) {
                              fmt::print("trefoil-fuzz {}\n", program_version);
                              return 0;
                          },
                          [](const settings_refused& refused) {
                              for (const auto& error : refused.errors) {
                                  fmt::print(stderr, "{}\n", to_string(error));
                              }
                              return exit_bad_settings;
                          },
                      },
                      settings.parse(argc, argv));
}
