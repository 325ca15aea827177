#include "proxy_metrics.hpp"

#include <array>

#include <fmt/format.h>

#include "metric_label.hpp"

namespace trefoil {
namespace {

constexpr std::array<duration, 11> bounds = {5ms,   10ms,   25ms, 50ms, 100ms, 250ms,
                                             500ms, 1000ms, 2s,   4s,   8s};

void append_histogram(std::string& out, const std::string& route,
                      const latency_histogram& latency) {
    const auto name = metric_label(route);
    for (const auto bound : bounds) {
        out += fmt::format("trefoil_call_seconds_bucket{{route=\"{}\",le=\"{}\"}} {}\n", name,
                           to_seconds(bound), latency.count_up_to(bound));
    }
    out += fmt::format("trefoil_call_seconds_bucket{{route=\"{}\",le=\"+Inf\"}} {}\n", name,
                       latency.count());
    out += fmt::format("trefoil_call_seconds_sum{{route=\"{}\"}} {}\n", name,
                       to_seconds(latency.sum()));
    out += fmt::format("trefoil_call_seconds_count{{route=\"{}\"}} {}\n", name, latency.count());
}

} // namespace

std::string_view name_of(call_result result) {
    switch (result) {
    case call_result::served:
        return "served";
    case call_result::served_late:
        return "served_late";
    case call_result::target_error:
        return "target_error";
    case call_result::refused:
        return "refused";
    case call_result::failed:
        return "failed";
    case call_result::timed_out:
        return "timed_out";
    case call_result::abandoned:
        return "abandoned";
    }
    return "unknown";
}

void proxy_metrics::record_call(const std::string& route, call_result result, duration took) {
    static const std::string others = "other";
    const bool has_room = routes_.contains(route) || routes_.size() < max_routes;
    auto& entry = routes_[has_room ? route : others];
    ++entry.results[result];
    if (result == call_result::served || result == call_result::served_late) {
        entry.latency.record(took);
    }
}

std::string proxy_metrics::text() const {
    std::string out = "# TYPE trefoil_calls_total counter\n";
    for (const auto& [route, entry] : routes_) {
        for (const auto& [result, count] : entry.results) {
            out += fmt::format("trefoil_calls_total{{route=\"{}\",end=\"{}\"}} {}\n",
                               metric_label(route), name_of(result), count);
        }
    }
    out += "# TYPE trefoil_refusals_total counter\n";
    for (const auto& [reason, count] : refusals_) {
        out += fmt::format("trefoil_refusals_total{{reason=\"{}\"}} {}\n", name_of(reason), count);
    }
    out += "# TYPE trefoil_repeats_total counter\n";
    for (const auto& [cause, count] : retries_) {
        out +=
            fmt::format("trefoil_repeats_total{{cause=\"{}\"}} {}\n", metric_label(cause), count);
    }
    out += "# TYPE trefoil_target_rejected_answers_total counter\n";
    for (const auto& [fate_and_cause, count] : rejected_answers_) {
        const auto& [fate, cause] = fate_and_cause;
        out += fmt::format("trefoil_target_rejected_answers_total{{fate=\"{}\",cause=\"{}\"}} {}\n",
                           fate == answer_fate::discarded ? "discarded" : "unusable",
                           metric_label(cause), count);
    }
    out += "# TYPE trefoil_cut_answers_total counter\n";
    for (const auto& [cause, count] : cut_answers_) {
        out += fmt::format("trefoil_cut_answers_total{{cause=\"{}\"}} {}\n", name_of(cause), count);
    }
    out += "# TYPE trefoil_call_seconds histogram\n";
    for (const auto& [route, entry] : routes_) {
        append_histogram(out, route, entry.latency);
    }
    return out;
}

std::string workspace_metrics(const std::vector<workspace_counts>& counts) {
    std::string out = "# TYPE trefoil_workspace_requests_total counter\n";
    for (const auto& entry : counts) {
        const auto name = metric_label(entry.workspace.str());
        out += fmt::format(
            "trefoil_workspace_requests_total{{workspace=\"{}\",result=\"admitted\"}} {}\n"
            "trefoil_workspace_requests_total{{workspace=\"{}\",result=\"limited\"}} {}\n",
            name, entry.admitted, name, entry.limited);
    }
    return out;
}

} // namespace trefoil
