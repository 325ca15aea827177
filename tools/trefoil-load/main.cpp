// Generates load, measures latency and throughput, and compares policies.
#include <map>
#include <string_view>

#include <fmt/format.h>

#include <trefoil/settings/option_set.hpp>

#include "commands.hpp"

using namespace trefoil;

namespace {

struct command {
    int (*run)(int argc, char** argv);
    std::string_view summary;
};

const std::map<std::string_view, command>& commands() {
    static const std::map<std::string_view, command> all = {
        {"run", {run_command, "sends the requests of a plan to running nodes"}},
        {"experiment",
         {experiment_command, "compares policies under overload and faults on a virtual clock"}},
        {"bench-core", {bench_core_command, "measures events per second through one core"}},
        {"compare", {compare_command, "measures the latency that two nodes add"}},
    };
    return all;
}

void print_help() {
    fmt::print("trefoil-load COMMAND [FLAGS]; COMMAND --help shows the flags\n\n");
    for (const auto& [name, entry] : commands()) {
        fmt::print("  {:<12} {}\n", name, entry.summary);
    }
}

} // namespace

int main(int argc, char** argv) {
    const std::string_view name = argc > 1 ? argv[1] : "--help";
    if (name == "--help") {
        print_help();
        return 0;
    }
    if (name == "--version") {
        fmt::print("trefoil-load {}\n", program_version);
        return 0;
    }
    const auto found = commands().find(name);
    if (found == commands().end()) {
        fmt::print(stderr, "'{}' is not a command; see trefoil-load --help\n", name);
        return exit_bad_settings;
    }
    return found->second.run(argc - 1, argv + 1);
}
