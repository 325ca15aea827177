#include "trace.hpp"

#include <fstream>

#include <fmt/format.h>

#include <trefoil/base/random.hpp>
#include <trefoil/report/request_trace.hpp>
#include <trefoil/settings/tool_main.hpp>

using namespace trefoil;

namespace {

struct trace_options {
    std::uint64_t draw = 0;
    std::uint64_t seed = 1;
};

/// Reads the log files. Prints an error and returns false if one can't be opened.
bool read_logs(const std::vector<std::string>& files, std::vector<log_line>& lines) {
    for (const auto& file : files) {
        std::ifstream in(file, std::ios::binary);
        if (!in) {
            fmt::print(stderr, "cannot open log file {}\n", file);
            return false;
        }
        const auto skipped = read_log(in, file, lines);
        if (skipped > 0) {
            fmt::print(stderr, "{}: skipped {} lines that are not log lines\n", file, skipped);
        }
    }
    return true;
}

/// Prints the traces of a random sample of the refused and failed requests.
int trace_sample(const log_archive& archive, const trace_options& options) {
    auto ids = archive.failed_requests();
    random_source random(options.seed);
    std::size_t explained = 0;
    std::size_t drawn = 0;
    for (; drawn < options.draw && !ids.empty(); ++drawn) {
        const auto at = ids.begin() + static_cast<std::ptrdiff_t>(random.below(ids.size()));
        const auto story = archive.trace_of(*at);
        ids.erase(at);
        explained += story.cause.empty() ? 0 : 1;
        fmt::print("{}", to_text(story));
    }
    fmt::print("{} of {} drawn requests are explained\n", explained, drawn);
    return 0;
}

int run(const trace_options& options, const std::vector<std::string>& arguments) {
    const bool traces_single_request = options.draw == 0;
    const std::size_t first_log = traces_single_request ? 1 : 0;
    if (arguments.size() <= first_log) {
        fmt::print(stderr, "a request id and log files are required; see --help\n");
        return exit_bad_settings;
    }
    std::vector<log_line> lines;
    if (!read_logs({arguments.begin() + static_cast<std::ptrdiff_t>(first_log), arguments.end()},
                   lines)) {
        return exit_bad_settings;
    }
    const log_archive archive(std::move(lines));
    if (!traces_single_request) {
        return trace_sample(archive, options);
    }
    const auto story = archive.trace_of(arguments.front());
    fmt::print("{}", to_text(story));
    return story.lines.empty() ? 1 : 0;
}

} // namespace

int run_trace(int argc, char** argv) {
    trace_options trace;
    option_set options(
        "trefoil-report trace",
        "shows the result of a request and its cause; arguments are the request id and "
        "the log files of all machines");
    options.add_count("draw", &trace.draw, 0, 100'000, "requests",
                      "number of refused and failed requests to draw at random, in place of an id");
    options.add_count("seed", &trace.seed, 0, UINT64_MAX, "", "seed of the random draw");
    return tool_main(options, argc, argv,
                     [&](const run_program& program) { return run(trace, program.positional); });
}
