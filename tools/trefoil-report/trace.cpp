#include "trace.hpp"

#include <fstream>

#include <fmt/format.h>

#include <trefoil/base/random.hpp>
#include <trefoil/report/request_story.hpp>
#include <trefoil/settings/tool_main.hpp>

using namespace trefoil;

namespace {

struct trace_options {
    std::uint64_t draw = 0;
    std::uint64_t seed = 1;
};

/// Reads the files, or says which can't be opened.
bool read_logs(const std::vector<std::string>& files, std::vector<log_line>& lines) {
    for (const auto& file : files) {
        std::ifstream in(file, std::ios::binary);
        if (!in) {
            fmt::print(stderr, "can't open {}\n", file);
            return false;
        }
        const auto left_out = read_log(in, file, lines);
        if (left_out > 0) {
            fmt::print(stderr, "{}: {} lines are no log lines\n", file, left_out);
        }
    }
    return true;
}

/// Tells the stories of requests that are drawn from those which were refused or failed.
int trace_drawn(const log_archive& archive, const trace_options& options) {
    auto ids = archive.unserved();
    random_source random(options.seed);
    std::size_t explained = 0;
    std::size_t drawn = 0;
    for (; drawn < options.draw && !ids.empty(); ++drawn) {
        const auto at = ids.begin() + static_cast<std::ptrdiff_t>(random.below(ids.size()));
        const auto story = archive.story_of(*at);
        ids.erase(at);
        explained += story.cause.empty() ? 0 : 1;
        fmt::print("{}", to_text(story));
    }
    fmt::print("{} of {} drawn requests are explained\n", explained, drawn);
    return 0;
}

int run(const trace_options& options, const std::vector<std::string>& arguments) {
    const bool has_id = options.draw == 0;
    const std::size_t first_log = has_id ? 1 : 0;
    if (arguments.size() <= first_log) {
        fmt::print(stderr, "a request's id and log files are needed; see --help\n");
        return exit_bad_settings;
    }
    std::vector<log_line> lines;
    if (!read_logs({arguments.begin() + static_cast<std::ptrdiff_t>(first_log), arguments.end()},
                   lines)) {
        return exit_bad_settings;
    }
    const log_archive archive(std::move(lines));
    if (!has_id) {
        return trace_drawn(archive, options);
    }
    const auto story = archive.story_of(arguments.front());
    fmt::print("{}", to_text(story));
    return story.lines.empty() ? 1 : 0;
}

} // namespace

int run_trace(int argc, char** argv) {
    trace_options trace;
    option_set options("trefoil-report trace",
                       "what happened to a request; arguments are its id and log files of all "
                       "machines");
    options.add_count("draw", &trace.draw, 0, 100'000, "requests",
                      "take so many of the refused and failed requests in place of an id");
    options.add_count("seed", &trace.seed, 0, UINT64_MAX, "", "decides which are drawn");
    return tool_main(options, argc, argv,
                     [&](const run_program& program) { return run(trace, program.positional); });
}
