// Service-level burn: the rate at which each kind of request consumes its error budget.
#pragma once

#include <array>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <trefoil/report/scrape.hpp>
#include <trefoil/table/table.hpp>

namespace trefoil {

/// A pair of windows of a multi-window alert (Google, The Site Reliability Workbook, chapter 5).
/// The alert is raised if the burn rate exceeds `rate` in both windows. Windows are in seconds.
struct burn_window {
    const char* name;
    double short_s;
    double long_s;
    double rate;
};

inline constexpr std::array<burn_window, 2> burn_windows = {
    {{"5m/1h", 300, 3600, 14.4}, {"30m/6h", 1800, 21600, 6.0}}};

/// Burn rates of one kind in one pair of windows. A rate of 1 consumes the error budget exactly
/// within its period. A rate is absent if the window has no requests or the objective leaves no
/// budget.
struct burn_rate {
    std::optional<double> short_rate;
    std::optional<double> long_rate;
    bool alerts = false;

    friend bool operator==(const burn_rate&, const burn_rate&) = default;
};

/// The report's row of one kind.
struct kind_burn {
    std::string kind;
    double slo_percent = 0;
    kind_counts total;
    /// Fraction of the error budget that is left over all scraped requests. Negative if the budget
    /// is exceeded, absent if there are no requests.
    std::optional<double> budget_left;
    std::array<burn_rate, burn_windows.size()> rates;

    friend bool operator==(const kind_burn&, const kind_burn&) = default;
};

/// Contents of a report on service-level burn.
struct burn_report {
    std::vector<kind_burn> kinds;
    /// Number of refusals by "kind reason".
    std::map<std::string, double> refusals;
    /// Admission thresholds by node, for nodes that refuse some positions.
    std::map<std::string, double> raised_levels;
    /// Number of failed scrapes by node.
    std::map<std::string, std::size_t> gaps;
    /// Success ratio of the requests between two scrapes, by kind, as pairs of time and ratio. An
    /// interval without requests has no point.
    std::map<std::string, std::vector<std::pair<double, double>>> series;
};

/// Computes the report. A counter that decreased belongs to a node that was restarted, so its new
/// value counts from zero. A failed scrape is a gap and doesn't count as zero.
burn_report make_report(const saved_scrapes& scrapes, const table& objectives);

/// Formats the report as aligned text for a terminal.
std::string to_text(const burn_report& report);
/// Formats the report as one JSON object.
std::string to_json(const burn_report& report);
/// Formats the report as one self-contained HTML page with plots.
std::string to_html(const burn_report& report);

} // namespace trefoil
