#include <algorithm>
#include <atomic>
#include <charconv>
#include <string>
#include <thread>
#include <vector>

#include <fmt/format.h>

#include <trefoil/experiment/experiment.hpp>
#include <trefoil/settings/tool_main.hpp>

#include "commands.hpp"

namespace trefoil {
namespace {

/// Values of the command line flags, before they are converted to a plan.
struct experiment_flags {
    std::string site = "kigali";
    std::string policy = "all";
    std::string slow = "-";
    std::string cut = "-";
    std::string without = "-";
    double surge = 1;
    double recovery_speed = admission_settings{}.recovery_speed;
    std::uint64_t clients_retry = 0;
    std::uint64_t app_retry = 0;
    std::uint64_t crash_every = 0;
    std::uint64_t seconds = 16;
    std::uint64_t seed = 1;
    std::uint64_t seeds = 1;
    std::uint64_t threads = 2;
    bool platform_down = false;
    bool json = false;
    bool kinds = false;
};

void declare_options(option_set& options, experiment_flags& f) {
    options.add_choice("site", &f.site, {"kigali", "keurwoning"},
                       "site whose services and requests are emulated");
    options.add_choice("policy", &f.policy, {"all", "none", "static", "full"}, "policies to run");
    options.add_number("surge", &f.surge, 0, 100, "ratio", "load during the trigger");
    options.add_text("slow", &f.slow,
                     "SERVICE:FACTOR,... services that are slow during the trigger, - for none",
                     false);
    options.add_count("clients-retry", &f.clients_retry, 0, 100, "times",
                      "number of times that callers retry an unsuccessful request");
    options.add_count("app-retry", &f.app_retry, 0, 100, "times",
                      "number of times that targets retry an unsuccessful call of their own");
    options.add_count("crash-every", &f.crash_every, 0, 1'000'000'000, "requests",
                      "one request in this number crashes its targets; 0 for none");
    options.add_text("cut", &f.cut, "failure domain that is cut off during the trigger, - for none",
                     false);
    options.add_switch("platform-down", &f.platform_down,
                       "make the platform unreachable during the trigger");
    options.add_text("without", &f.without,
                     "PART,... of policy full to disable: adaptive_limit, priority_order, "
                     "deadline_refusal, level, chain_level, slow_start, ejection, quarantine, "
                     "spill_bound; - for none",
                     false);
    options.add_number("recovery-speed", &f.recovery_speed, 0, 1, "ratio",
                       "speed at which a level falls after a trigger");
    options.add_count("seconds", &f.seconds, 4, 3600, "seconds", "length of a run");
    options.add_count("seed", &f.seed, 0, 1'000'000'000, "number", "first seed");
    options.add_count("seeds", &f.seeds, 1, 1000, "number",
                      "number of runs, with consecutive seeds");
    options.add_count("threads", &f.threads, 1, 64, "threads", "number of runs at once");
    options.add_switch("json", &f.json, "print one JSON object instead of text");
    options.add_switch("kinds", &f.kinds, "also print the results by kind of request");
}

std::vector<std::string> split(const std::string& text) {
    std::vector<std::string> parts;
    std::size_t from = 0;
    while (text != "-" && from < text.size()) {
        const auto end = std::min(text.find(',', from), text.size());
        parts.push_back(text.substr(from, end - from));
        from = end + 1;
    }
    return parts;
}

bool read_slow(const std::string& text, slow_services& slow) {
    for (const auto& entry : split(text)) {
        const auto colon = entry.find(':');
        double factor = 0;
        if (colon == std::string::npos ||
            std::from_chars(entry.data() + colon + 1, entry.data() + entry.size(), factor).ec !=
                std::errc{}) {
            return false;
        }
        slow[entry.substr(0, colon)] = factor;
    }
    return true;
}

bool read_parts(const std::string& text, experiment_plan& plan) {
    auto& parts = plan.parts;
    for (const auto& name : split(text)) {
        bool* part = nullptr;
        if (name == "adaptive_limit") {
            part = &parts.adaptive_limit;
        } else if (name == "priority_order") {
            part = &parts.priority_order;
        } else if (name == "deadline_refusal") {
            part = &parts.deadline_refusal;
        } else if (name == "level") {
            part = &parts.level;
        } else if (name == "chain_level") {
            part = &parts.chain_level;
        } else if (name == "slow_start") {
            part = &parts.slow_start;
        } else if (name == "ejection") {
            part = &plan.ejection;
        } else if (name == "quarantine") {
            part = &plan.quarantine;
        } else if (name == "spill_bound") {
            part = &plan.spill_bound;
        }
        if (part == nullptr) {
            return false;
        }
        *part = false;
    }
    return true;
}

std::vector<experiment_plan> make_plans(const experiment_flags& f, const experiment_plan& base) {
    std::vector<experiment_plan> plans;
    for (const auto policy :
         {experiment_policy::none, experiment_policy::fixed, experiment_policy::full}) {
        if (f.policy != "all" && f.policy != name_of(policy)) {
            continue;
        }
        for (std::uint64_t i = 0; i < f.seeds; ++i) {
            auto plan = base;
            plan.policy = policy;
            plan.seed = f.seed + i;
            plans.push_back(plan);
        }
    }
    return plans;
}

std::vector<experiment_result> run_all(const std::vector<experiment_plan>& plans,
                                       std::uint64_t threads) {
    std::vector<experiment_result> results(plans.size());
    std::atomic<std::size_t> next{0};
    const auto work = [&] {
        for (auto i = next++; i < plans.size(); i = next++) {
            results[i] = run_experiment(plans[i]);
        }
    };
    std::vector<std::thread> workers;
    for (std::uint64_t i = 1; i < threads; ++i) {
        workers.emplace_back(work);
    }
    work();
    for (auto& worker : workers) {
        worker.join();
    }
    return results;
}

void print_kinds(const std::vector<experiment_result>& results) {
    fmt::print("\npolicy  seed  kind              offered  completed  refused  failed  unknown\n");
    for (const auto& result : results) {
        for (const auto& kind : result.kinds) {
            fmt::print("{:<6}  {:>4}  {:<16}  {:>7}  {:>9}  {:>7}  {:>6}  {:>7}\n",
                       name_of(result.policy), result.seed, kind.kind, kind.offered, kind.completed,
                       kind.refused, kind.failed, kind.unknown);
        }
    }
}

int run(const experiment_flags& f) {
    experiment_plan plan;
    plan.site = f.site;
    plan.surge = f.surge;
    plan.clients_retry = static_cast<std::uint32_t>(f.clients_retry);
    plan.app_retry = static_cast<std::uint32_t>(f.app_retry);
    plan.crash_every = f.crash_every;
    plan.cut = f.cut == "-" ? "" : f.cut;
    plan.platform_down = f.platform_down;
    plan.recovery_speed = f.recovery_speed;
    plan.length = std::chrono::seconds(f.seconds);
    if (!read_slow(f.slow, plan.slow)) {
        fmt::print(stderr, "--slow: allowed is SERVICE:FACTOR,...\n");
        return exit_bad_settings;
    }
    if (!read_parts(f.without, plan)) {
        fmt::print(stderr, "--without: unknown part; see --help for the list\n");
        return exit_bad_settings;
    }
    const auto results = run_all(make_plans(f, plan), f.threads);
    fmt::print("{}", f.json ? format_json(plan, results) : format_text(plan, results));
    if (f.kinds && !f.json) {
        print_kinds(results);
    }
    return 0;
}

} // namespace

int experiment_command(int argc, char** argv) {
    experiment_flags flags;
    option_set options("trefoil-load experiment", "compares policies on a virtual clock");
    declare_options(options, flags);
    return tool_main(options, argc, argv, [&](const run_program&) { return run(flags); });
}

} // namespace trefoil
