#include "proxy_metrics.hpp"

#include <array>

#include <fmt/format.h>

namespace trefoil {
namespace {

constexpr std::array<duration, 11> bounds = {5ms,   10ms,   25ms, 50ms, 100ms, 250ms,
                                             500ms, 1000ms, 2s,   4s,   8s};

/// A label's value with what the format reserves escaped.
std::string label(std::string_view value) {
    std::string out;
    for (const char c : value) {
        if (c == '\\' || c == '"') {
            out += '\\';
        }
        out += c == '\n' ? ' ' : c;
    }
    return out;
}

void append_histogram(std::string& out, const std::string& route,
                      const latency_histogram& latency) {
    const auto name = label(route);
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

std::string_view name_of(call_end end) {
    switch (end) {
    case call_end::served:
        return "served";
    case call_end::served_late:
        return "served_late";
    case call_end::target_error:
        return "target_error";
    case call_end::refused:
        return "refused";
    case call_end::failed:
        return "failed";
    case call_end::timed_out:
        return "timed_out";
    case call_end::abandoned:
        return "abandoned";
    }
    return "unknown";
}

void proxy_metrics::ended(const std::string& route, call_end end, duration took) {
    static const std::string others = "other";
    const bool has_room = routes_.contains(route) || routes_.size() < max_routes;
    auto& entry = routes_[has_room ? route : others];
    ++entry.ends[end];
    if (end == call_end::served || end == call_end::served_late) {
        entry.latency.record(took);
    }
}

std::string proxy_metrics::text() const {
    std::string out = "# TYPE trefoil_calls_total counter\n";
    for (const auto& [route, entry] : routes_) {
        for (const auto& [end, count] : entry.ends) {
            out += fmt::format("trefoil_calls_total{{route=\"{}\",end=\"{}\"}} {}\n", label(route),
                               name_of(end), count);
        }
    }
    out += "# TYPE trefoil_refusals_total counter\n";
    for (const auto& [reason, count] : refusals_) {
        out += fmt::format("trefoil_refusals_total{{reason=\"{}\"}} {}\n", name_of(reason), count);
    }
    out += "# TYPE trefoil_repeats_total counter\n";
    for (const auto& [cause, count] : repeats_) {
        out += fmt::format("trefoil_repeats_total{{cause=\"{}\"}} {}\n", label(cause), count);
    }
    out += "# TYPE trefoil_call_seconds histogram\n";
    for (const auto& [route, entry] : routes_) {
        append_histogram(out, route, entry.latency);
    }
    return out;
}

} // namespace trefoil
