// Load and experiments.
#include <string_view>

#include <fmt/format.h>

#include <trefoil/settings/option_set.hpp>

#include "commands.hpp"

namespace {

struct subcommand {
    std::string_view name;
    std::string_view summary;
    int (*run)(int argc, char** argv);
};

constexpr subcommand subcommands[] = {
    {"experiment", "policies compared under overload and faults, on a paused clock",
     trefoil::experiment_command},
};

void print_help() {
    fmt::print("usage: trefoil-load SUBCOMMAND [flags]\n\n");
    for (const auto& one : subcommands) {
        fmt::print("  {:<12} {}\n", one.name, one.summary);
    }
    fmt::print("\ntrefoil-load SUBCOMMAND --help lists the flags.\n");
}

} // namespace

int main(int argc, char** argv) {
    const std::string_view wanted = argc > 1 ? argv[1] : "--help";
    for (const auto& one : subcommands) {
        if (one.name == wanted) {
            return one.run(argc - 1, argv + 1);
        }
    }
    print_help();
    return wanted == "--help" ? 0 : trefoil::exit_bad_settings;
}
