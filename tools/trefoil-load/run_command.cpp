#include <csignal>
#include <fstream>
#include <iterator>

#include <fmt/format.h>

#include <trefoil/load/load_run.hpp>
#include <trefoil/settings/tool_main.hpp>

#include "commands.hpp"

namespace trefoil {
namespace {

int run_plan(const std::string& plan_file) {
    std::ifstream in(plan_file, std::ios::binary);
    const std::string text{std::istreambuf_iterator<char>(in), {}};
    const auto parsed = parse_load_plan(text);
    if (const auto* errors = std::get_if<plan_errors>(&parsed)) {
        for (const auto& error : *errors) {
            fmt::print(stderr, "{}:{}: {}\n", plan_file, error.line, error.problem);
        }
        return exit_bad_settings;
    }
    load_observer observer;
    observer.on_phase = [](const planned_phase& phase) {
        fmt::print(stderr, "phase {}: {:.0f} s at {} times the rates\n", phase.name,
                   to_seconds(phase.length), phase.factor);
    };
    observer.on_second = [](const load_progress& p) {
        fmt::print(stderr, "second {}: sent {}, completed {}, refused {}, failed {}\n", p.second,
                   p.offered, p.completed, p.not_run, p.failed);
    };
    const auto result = run_load(std::get<load_plan>(parsed), observer);
    fmt::print("{}", to_text(result));
    return result.mismatched_answers == 0 ? 0 : 1;
}

} // namespace

int run_command(int argc, char** argv) {
    std::signal(SIGPIPE, SIG_IGN);
    std::string plan_file;
    option_set options("trefoil-load run", "sends the requests of a plan to running nodes");
    options.add_text("plan", &plan_file,
                     "file with the plan; docs/EXPERIMENTS.md describes its format", true);
    return tool_main(options, argc, argv, [&](const run_program&) { return run_plan(plan_file); });
}

} // namespace trefoil
