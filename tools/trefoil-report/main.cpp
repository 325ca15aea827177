// Reports service-level burn from the admin listeners of nodes or from saved scrapes.
#include <csignal>
#include <fstream>

#include <fmt/format.h>
#include <uv.h>

#include <trefoil/base/read_file.hpp>
#include <trefoil/http/http_client.hpp>
#include <trefoil/report/burn.hpp>
#include <trefoil/settings/tool_main.hpp>

#include "trace.hpp"

using namespace trefoil;

namespace {

struct report_options {
    std::string table_file;
    std::string saved_file;
    std::string output_file;
    std::string html_file;
    duration interval = 10s;
    std::uint64_t readings = 2;
    bool json = false;
};

// Scrapes the /metrics pages of all nodes periodically. Returns them in the saved format.
class scraper {
public:
    scraper(std::vector<endpoint> nodes, const report_options& options)
        : nodes_(std::move(nodes)), options_(options) {
        uv_loop_init(&loop_);
        uv_timer_init(&loop_, &interval_timer_);
        client_ = std::make_unique<http_client>(&loop_);
    }

    std::string run() {
        const auto begin = uv_hrtime();
        for (std::uint64_t i = 0; i < options_.readings; ++i) {
            if (i > 0) {
                wait();
            }
            read_all(static_cast<double>(uv_hrtime() - begin) / 1e9);
        }
        return std::move(text_);
    }

private:
    void read_all(double at) {
        std::size_t open = nodes_.size();
        for (const auto& node : nodes_) {
            const http_request request{"GET", "/metrics", service_name("admin"), {}, "", "", ""};
            client_->send(node, request, {}, [&, name = to_string(node)](const exchange_result& r) {
                --open;
                const auto* answer = std::get_if<http_answer>(&r);
                text_ += fmt::format("# scrape {} {:.3f}{}\n", name, at,
                                     answer == nullptr ? " failed" : "");
                text_ += answer == nullptr ? "" : answer->body;
            });
        }
        while (open > 0) {
            uv_run(&loop_, UV_RUN_ONCE);
        }
    }

    void wait() {
        bool is_over = false;
        interval_timer_.data = &is_over;
        uv_update_time(&loop_);
        uv_timer_start(
            &interval_timer_, [](uv_timer_t* timer) { *static_cast<bool*>(timer->data) = true; },
            static_cast<std::uint64_t>(options_.interval / 1ms), 0);
        while (!is_over) {
            uv_run(&loop_, UV_RUN_ONCE);
        }
    }

    std::vector<endpoint> nodes_;
    const report_options& options_;
    uv_loop_t loop_{};
    uv_timer_t interval_timer_{};
    std::unique_ptr<http_client> client_;
    std::string text_;
};

int print_report(const report_options& options, const std::string& scrapes) {
    const auto text = read_file(options.table_file);
    if (!text) {
        fmt::print(stderr, "{}: cannot read file\n", options.table_file);
        return exit_bad_settings;
    }
    const auto parsed = parse_table(*text);
    if (const auto* errors = std::get_if<table_errors>(&parsed)) {
        for (const auto& error : *errors) {
            fmt::print(stderr, "{}: {}\n", options.table_file, to_string(error));
        }
        return exit_bad_settings;
    }
    if (!options.output_file.empty()) {
        std::ofstream(options.output_file, std::ios::binary) << scrapes;
    }
    const auto report = make_report(parse_saved_scrapes(scrapes), std::get<table>(parsed));
    if (!options.html_file.empty()) {
        std::ofstream(options.html_file, std::ios::binary) << to_html(report);
    }
    fmt::print("{}", options.json ? to_json(report) : to_text(report));
    return 0;
}

int run(const report_options& options, const run_program& program) {
    if (!options.saved_file.empty()) {
        const auto saved = read_file(options.saved_file);
        if (!saved) {
            fmt::print(stderr, "{}: cannot read file\n", options.saved_file);
            return exit_bad_settings;
        }
        return print_report(options, *saved);
    }
    std::vector<endpoint> nodes;
    for (const auto& text : program.positional) {
        const auto node = parse_endpoint(text);
        if (!node.ok()) {
            fmt::print(stderr, "{}\n", std::string(node.status().message()));
            return exit_bad_settings;
        }
        nodes.push_back(*node);
    }
    if (nodes.empty()) {
        fmt::print(stderr, "admin addresses of nodes or --saved FILE are required; see --help\n");
        return exit_bad_settings;
    }
    return print_report(options, scraper(std::move(nodes), options).run());
}

} // namespace

int main(int argc, char** argv) {
    std::signal(SIGPIPE, SIG_IGN);
    if (argc > 1 && std::string_view(argv[1]) == "trace") {
        return run_trace(argc - 1, argv + 1);
    }
    report_options report;
    option_set options("trefoil-report",
                       "reports service-level burn; arguments are the admin addresses of nodes. "
                       "`trefoil-report trace ID LOG...` shows the cause of a request's result");
    options.add_text("table", &report.table_file,
                     "file with the table that contains the objectives", true);
    options.add_text("saved", &report.saved_file,
                     "file of saved scrapes to read instead of querying nodes", false);
    options.add_text("save", &report.output_file, "file to write the scrapes to", false);
    options.add_text("html", &report.html_file, "file to write an HTML page with plots to", false);
    options.add_milliseconds("interval", &report.interval, 10, 3'600'000, "time between readings");
    options.add_count("readings", &report.readings, 2, 100'000, "readings",
                      "number of readings of each node");
    options.add_switch("json", &report.json, "print JSON instead of text");
    return tool_main(options, argc, argv,
                     [&](const run_program& program) { return run(report, program); });
}
