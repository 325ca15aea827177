#include <trefoil/report/burn.hpp>

#include <fmt/format.h>

namespace trefoil {
namespace {

std::string format_optional(const std::optional<double>& value, const char* unit = "") {
    return value ? fmt::format("{:.2f}{}", *value, unit) : std::string("-");
}

std::string percent(const std::optional<double>& share) {
    return share ? fmt::format("{:.1f}%", *share * 100) : std::string("-");
}

std::string json_number(const std::optional<double>& value) {
    return value ? fmt::format("{:.6g}", *value) : std::string("null");
}

std::string json_map(const std::map<std::string, double>& values) {
    std::string text;
    for (const auto& [key, value] : values) {
        text += fmt::format("{}\"{}\":{:.6g}", text.empty() ? "" : ",", key, value);
    }
    return "{" + text + "}";
}

std::string json_kind(const kind_burn& kind) {
    std::string windows;
    for (std::size_t i = 0; i < burn_windows.size(); ++i) {
        windows +=
            fmt::format(R"({}{{"window":"{}","short":{},"long":{},"alert":{}}})", i == 0 ? "" : ",",
                        burn_windows[i].name, json_number(kind.rates[i].short_rate),
                        json_number(kind.rates[i].long_rate), kind.rates[i].alerts);
    }
    return fmt::format(R"({{"kind":"{}","slo_percent":{},"offered":{},"succeeded":{},"not_run":{},)"
                       R"("unknown":{},"retries":{},"budget_left":{},"burn":[{}]}})",
                       kind.kind, kind.slo_percent, kind.total.offered, kind.total.succeeded,
                       kind.total.not_run, kind.total.unknown, kind.total.retries,
                       json_number(kind.budget_left), windows);
}

// Draws the success ratio over time as an SVG polyline in the units of the plot.
std::string polyline(const std::vector<std::pair<double, double>>& points) {
    constexpr double width = 560;
    constexpr double height = 80;
    if (points.empty()) {
        return "<text x=\"4\" y=\"45\">no requests</text>";
    }
    const double first = points.front().first;
    const double span = std::max(points.back().first - first, 1e-9);
    std::string path;
    for (const auto& [at, share] : points) {
        path += fmt::format("{:.1f},{:.1f} ", (at - first) / span * width, (1 - share) * height);
    }
    return fmt::format(R"(<polyline fill="none" stroke="#06c" stroke-width="1.5" points="{}"/>)",
                       path);
}

} // namespace

std::string to_text(const burn_report& report) {
    std::string text =
        fmt::format("{:<20} {:>7} {:>9} {:>10} {:>8} {:>8} {:>8} {:>9}", "kind", "slo_%", "offered",
                    "succeeded", "not_run", "unknown", "retries", "budget");
    for (const auto& window : burn_windows) {
        text += fmt::format(" {:>15}", window.name);
    }
    text += '\n';
    for (const auto& kind : report.kinds) {
        text += fmt::format("{:<20} {:>7} {:>9.0f} {:>10.0f} {:>8.0f} {:>8.0f} {:>8.0f} {:>9}",
                            kind.kind, kind.slo_percent, kind.total.offered, kind.total.succeeded,
                            kind.total.not_run, kind.total.unknown, kind.total.retries,
                            percent(kind.budget_left));
        for (const auto& rate : kind.rates) {
            text += fmt::format(" {:>15}", fmt::format("{}/{}{}", format_optional(rate.short_rate),
                                                       format_optional(rate.long_rate),
                                                       rate.alerts ? " !" : ""));
        }
        text += '\n';
    }
    for (const auto& [key, count] : report.refusals) {
        text += fmt::format("refused {} {:.0f}\n", key, count);
    }
    for (const auto& [node, threshold] : report.raised_levels) {
        text += fmt::format("level of {} refuses positions from {:.0f}\n", node, threshold);
    }
    for (const auto& [node, count] : report.gaps) {
        text += fmt::format("gap {}: {} readings failed\n", node, count);
    }
    return text;
}

std::string to_json(const burn_report& report) {
    std::string kinds;
    for (const auto& kind : report.kinds) {
        kinds += (kinds.empty() ? "" : ",") + json_kind(kind);
    }
    std::map<std::string, double> gaps;
    for (const auto& [node, count] : report.gaps) {
        gaps[node] = static_cast<double>(count);
    }
    return fmt::format("{{\"kinds\":[{}],\"refusals\":{},\"raised_levels\":{},\"gaps\":{}}}\n",
                       kinds, json_map(report.refusals), json_map(report.raised_levels),
                       json_map(gaps));
}

std::string to_html(const burn_report& report) {
    std::string plots;
    for (const auto& kind : report.kinds) {
        const auto found = report.series.find(kind.kind);
        plots += fmt::format("<h3>{}: success over time, objective {} %</h3>"
                             "<svg width=\"560\" height=\"80\" style=\"border:1px solid #ccc\">{}"
                             "</svg>\n",
                             kind.kind, kind.slo_percent,
                             polyline(found == report.series.end()
                                          ? std::vector<std::pair<double, double>>{}
                                          : found->second));
    }
    return fmt::format("<!doctype html><html><head><meta charset=\"utf-8\"><title>Service-level "
                       "burn</title><style>body{{font-family:sans-serif;margin:2em}}</style></head>"
                       "<body><h1>Service-level burn</h1><pre>{}</pre>{}</body></html>\n",
                       to_text(report), plots);
}

} // namespace trefoil
