// Service-level burn: how fast each kind of request uses up its error budget.
#pragma once

#include <array>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include <trefoil/report/scrape.hpp>
#include <trefoil/table/table.hpp>

namespace trefoil {

/// A pair of windows of a multi-window alert (Google, The Site Reliability Workbook, chapter 5): it
/// is raised if both burn faster than the rate.
struct burn_window {
    const char* name;
    double short_s;
    double long_s;
    double rate;
};

inline constexpr std::array<burn_window, 2> burn_windows = {
    {{"5m/1h", 300, 3600, 14.4}, {"30m/6h", 1800, 21600, 6.0}}};

/// Burn of one kind in one pair of windows. A rate of 1 uses the budget up exactly in its period.
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
    /// Share of the error budget of all scraped requests that is left; below 0 if overspent,
    /// nothing without requests.
    std::optional<double> budget_left;
    std::array<burn_rate, burn_windows.size()> rates;

    friend bool operator==(const kind_burn&, const kind_burn&) = default;
};

/// Everything that the report shows.
struct burn_report {
    std::vector<kind_burn> kinds;
    /// Refusals by "kind reason", and nodes whose admission level is raised.
    std::map<std::string, double> refusals;
    std::map<std::string, double> raised_levels;
    /// Failed readings by node.
    std::map<std::string, std::size_t> gaps;
    /// Share of requests that succeeded between two readings, by kind: time and share. Without
    /// requests there is no point.
    std::map<std::string, std::vector<std::pair<double, double>>> series;
};

/// Works the report out. A counter that fell belongs to a node that was started anew and counts
/// from zero; a missing reading is a gap, never a zero.
burn_report make_report(const saved_scrapes& scrapes, const table& objectives);

/// Aligned text for a terminal.
std::string to_text(const burn_report& report);
std::string to_json(const burn_report& report);
/// One self-contained page with plots.
std::string to_html(const burn_report& report);

} // namespace trefoil
