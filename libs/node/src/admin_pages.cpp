#include "admin_pages.hpp"

#include <array>
#include <iterator>

#include <fmt/format.h>

namespace trefoil {
namespace {

constexpr std::array latency_bucket_bounds = {1ms,   2ms,   5ms,    10ms,   20ms,   50ms,   100ms,
                                              200ms, 500ms, 1000ms, 2000ms, 5000ms, 10000ms};

using text_buffer = std::back_insert_iterator<std::string>;

void write_family(text_buffer out, std::string_view name, std::string_view help,
                  std::string_view type) {
    fmt::format_to(out, "# HELP {} {}\n# TYPE {} {}\n", name, help, name, type);
}

void write_gauge(text_buffer out, std::string_view name, std::string_view help, double value) {
    write_family(out, name, help, "gauge");
    fmt::format_to(out, "{} {}\n", name, value);
}

// The metrics of all kinds under one value of the label `place`.
struct labelled_metrics {
    std::string_view label;
    const std::map<std::string, kind_metrics>& kinds;
};

template <class Value>
void write_counter(text_buffer out, const std::array<labelled_metrics, 2>& places,
                   std::string_view name, std::string_view help, Value value) {
    write_family(out, name, help, "counter");
    for (const auto& place : places) {
        for (const auto& [kind, metrics] : place.kinds) {
            fmt::format_to(out, "{}{{place=\"{}\",kind=\"{}\"}} {}\n", name, place.label, kind,
                           value(metrics));
        }
    }
}

void write_refusals(text_buffer out, const std::array<labelled_metrics, 2>& places) {
    constexpr std::string_view name = "trefoil_refused_total";
    write_family(out, name, "Calls that were refused or got no answer, by reason.", "counter");
    for (const auto& place : places) {
        for (const auto& [kind, metrics] : place.kinds) {
            for (const auto reason : all_refusals()) {
                const auto count = metrics.refused[static_cast<std::size_t>(reason)];
                if (count > 0) {
                    fmt::format_to(out, "{}{{place=\"{}\",kind=\"{}\",reason=\"{}\"}} {}\n", name,
                                   place.label, kind, name_of(reason), count);
                }
            }
        }
    }
}

void write_latencies(text_buffer out, const std::array<labelled_metrics, 2>& places) {
    constexpr std::string_view name = "trefoil_latency_seconds";
    write_family(out, name, "Time from arrival to a complete answer.", "histogram");
    for (const auto& place : places) {
        for (const auto& [kind, metrics] : place.kinds) {
            const auto labels = fmt::format("place=\"{}\",kind=\"{}\"", place.label, kind);
            for (const duration limit : latency_bucket_bounds) {
                fmt::format_to(out, "{}_bucket{{{},le=\"{}\"}} {}\n", name, labels,
                               to_seconds(limit), metrics.latency.count_up_to(limit));
            }
            fmt::format_to(out, "{}_bucket{{{},le=\"+Inf\"}} {}\n", name, labels,
                           metrics.latency.count());
            fmt::format_to(out, "{}_sum{{{}}} {}\n", name, labels,
                           to_seconds(metrics.latency.sum()));
            fmt::format_to(out, "{}_count{{{}}} {}\n", name, labels, metrics.latency.count());
        }
    }
}

std::string metrics_page(const admin_view& view) {
    std::string text;
    text_buffer out(text);
    const std::array<labelled_metrics, 2> places = {
        {{"edge", view.metrics.edge}, {"leg", view.metrics.local_calls}}};
    write_counter(out, places, "trefoil_offered_total", "Calls that arrived.",
                  [](const kind_metrics& m) { return m.offered; });
    write_counter(out, places, "trefoil_completed_total", "Calls with a complete answer.",
                  [](const kind_metrics& m) { return m.completed; });
    write_counter(out, places, "trefoil_succeeded_total",
                  "Calls with a complete answer of a status below 400.",
                  [](const kind_metrics& m) { return m.succeeded; });
    write_counter(out, places, "trefoil_not_run_total", "Calls that were not run.",
                  [](const kind_metrics& m) { return m.not_run; });
    write_counter(out, places, "trefoil_unknown_total", "Calls whose end is not known.",
                  [](const kind_metrics& m) { return m.unknown; });
    write_counter(out, places, "trefoil_retries_total", "Attempts beyond the first.",
                  [](const kind_metrics& m) { return m.retries; });
    write_refusals(out, places);
    write_latencies(out, places);
    const auto& status = view.status;
    write_gauge(out, "trefoil_in_flight", "Calls at the target.", status.load.in_flight);
    write_gauge(out, "trefoil_queued", "Calls that wait.", status.load.queued);
    write_gauge(out, "trefoil_limit", "Calls that the target is given at once.", status.load.limit);
    write_gauge(out, "trefoil_threshold", "Admission positions from here on are refused.",
                status.threshold);
    write_gauge(out, "trefoil_target_up", "1 if the target accepts connections.",
                status.target_is_up ? 1 : 0);
    write_gauge(out, "trefoil_table_revision", "Revision of the table in force.",
                static_cast<double>(status.table.held.value));
    write_gauge(out, "trefoil_instances_revision", "Revision of the instance list in force.",
                static_cast<double>(status.instances.held.value));
    write_gauge(out, "trefoil_control_bytes_sent", "Bytes of control messages sent.",
                static_cast<double>(view.traffic.bytes_sent));
    write_gauge(out, "trefoil_control_messages_sent", "Control messages sent.",
                static_cast<double>(view.traffic.messages_sent));
    return text;
}

std::string document_json(const document_status& status, time_point now) {
    return fmt::format(
        R"({{"revision":{},"hash":"{:016x}","in_force_s":{:.3f},"confirmed_s":{:.3f},"source":"{}",)"
        R"("heard":{},"reader":{}}})",
        status.held.value, status.hash, to_seconds(now - status.in_force_since),
        to_seconds(now - status.confirmed_at), status.source, status.latest_known.value,
        status.is_reader);
}

std::string status_page(const admin_view& view) {
    const auto& s = view.status;
    return fmt::format(
        R"({{"instance":"{}","service":"{}","domain":"{}","region":"{}","incarnation":"{:016x}",)"
        R"("uptime_s":{:.3f},"table":{},"instances":{},"in_flight":{},"queued":{},"limit":{},)"
        R"("threshold":{},"calls":{},"attempts":{},"members":{},"target_up":{},"leaving":{}}})"
        "\n",
        view.settings.self.str(), view.settings.service.str(), view.settings.domain.str(),
        view.settings.region.str(), view.settings.incarnation.value,
        to_seconds(view.now - view.started), document_json(s.table, view.now),
        document_json(s.instances, view.now), s.load.in_flight, s.load.queued, s.load.limit,
        s.threshold, s.calls, s.attempts, s.members, s.target_is_up, s.is_leaving);
}

} // namespace

http_answer admin_answer(const std::string& path, const admin_view& view) {
    constexpr int ok = 200;
    constexpr int not_found = 404;
    constexpr int unavailable = 503;
    if (path == "/metrics") {
        return {ok, {{"content-type", "text/plain; version=0.0.4"}}, metrics_page(view)};
    }
    if (path == "/status") {
        return {ok, {{"content-type", "application/json"}}, status_page(view)};
    }
    if (path == "/healthz") {
        const bool is_serving = view.status.table.held.value > 0 && !view.status.is_leaving;
        return {is_serving ? ok : unavailable,
                {{"content-type", "text/plain"}},
                is_serving ? "serving\n" : "not serving\n"};
    }
    return {not_found, {{"content-type", "text/plain"}}, "paths: /metrics /status /healthz\n"};
}

} // namespace trefoil
