#include <trefoil/report/burn.hpp>

#include <algorithm>

#include <trefoil/admission/admission_position.hpp>

namespace trefoil {
namespace {

using scrapes_by_node = std::map<std::string, std::vector<const scrape*>>;

scrapes_by_node group_by_node(const std::vector<scrape>& scrapes) {
    scrapes_by_node sorted;
    for (const auto& one : scrapes) {
        sorted[one.node].push_back(&one);
    }
    for (auto& [node, list] : sorted) {
        std::stable_sort(list.begin(), list.end(),
                         [](const scrape* a, const scrape* b) { return a->at < b->at; });
    }
    return sorted;
}

kind_counts counts_of(const scrape& one, const std::string& kind) {
    const auto found = one.kinds.find(kind);
    return found == one.kinds.end() ? kind_counts{} : found->second;
}

double counter_increase(double before, double after) {
    return after >= before ? after - before : after;
}

kind_counts increase_between(const scrape& before, const scrape& after, const std::string& kind) {
    const auto a = counts_of(before, kind);
    const auto b = counts_of(after, kind);
    return {counter_increase(a.offered, b.offered), counter_increase(a.succeeded, b.succeeded),
            counter_increase(a.not_run, b.not_run), counter_increase(a.unknown, b.unknown),
            counter_increase(a.retries, b.retries)};
}

void add(kind_counts& sum, const kind_counts& more) {
    sum.offered += more.offered;
    sum.succeeded += more.succeeded;
    sum.not_run += more.not_run;
    sum.unknown += more.unknown;
    sum.retries += more.retries;
}

// Sums the counter increases of all nodes between consecutive scrapes, for those whose later scrape
// is after `since`.
kind_counts counts_since(const scrapes_by_node& nodes, const std::string& kind, double since) {
    kind_counts sum;
    for (const auto& [node, list] : nodes) {
        for (std::size_t i = 1; i < list.size(); ++i) {
            if (list[i]->at > since) {
                add(sum, increase_between(*list[i - 1], *list[i], kind));
            }
        }
    }
    return sum;
}

// Returns the error ratio divided by the allowed error ratio, or no value if there are no requests
// or no error budget.
std::optional<double> burn_rate_of(const kind_counts& counts, double allowed_ratio) {
    if (counts.offered <= 0 || allowed_ratio <= 0) {
        return std::nullopt;
    }
    return std::clamp(1 - counts.succeeded / counts.offered, 0.0, 1.0) / allowed_ratio;
}

kind_burn burn_of(const scrapes_by_node& nodes, const table_row& row, double now) {
    kind_burn burn;
    burn.kind = row.kind;
    burn.slo_percent = row.slo_percent;
    burn.total = counts_since(nodes, row.kind, -1);
    const double allowed = 1 - row.slo_percent / 100;
    if (const auto spent = burn_rate_of(burn.total, allowed)) {
        burn.budget_left = 1 - *spent;
    }
    for (std::size_t i = 0; i < burn_windows.size(); ++i) {
        const auto& window = burn_windows[i];
        auto& rate = burn.rates[i];
        rate.short_rate =
            burn_rate_of(counts_since(nodes, row.kind, now - window.short_s), allowed);
        rate.long_rate = burn_rate_of(counts_since(nodes, row.kind, now - window.long_s), allowed);
        rate.alerts = rate.short_rate && rate.long_rate && *rate.short_rate > window.rate &&
                      *rate.long_rate > window.rate;
    }
    return burn;
}

std::vector<std::pair<double, double>> series_of(const scrapes_by_node& nodes,
                                                 const std::string& kind) {
    std::map<double, kind_counts> by_time;
    for (const auto& [node, list] : nodes) {
        for (std::size_t i = 1; i < list.size(); ++i) {
            add(by_time[list[i]->at], increase_between(*list[i - 1], *list[i], kind));
        }
    }
    std::vector<std::pair<double, double>> points;
    for (const auto& [at, counts] : by_time) {
        if (counts.offered > 0) {
            points.emplace_back(at, counts.succeeded / counts.offered);
        }
    }
    return points;
}

void add_latest_state(burn_report& report, const std::vector<const scrape*>& list) {
    const auto& latest = *list.back();
    for (const auto& [key, count] : latest.refusals) {
        report.refusals[key] += count;
    }
    if (latest.threshold > 0 && latest.threshold < admit_all) {
        report.raised_levels[latest.node] = latest.threshold;
    }
}

} // namespace

burn_report make_report(const saved_scrapes& saved, const table& objectives) {
    const auto nodes = group_by_node(saved.scrapes);
    double now = 0;
    for (const auto& one : saved.scrapes) {
        now = std::max(now, one.at);
    }
    burn_report report;
    for (const auto& row : objectives.rows()) {
        report.kinds.push_back(burn_of(nodes, row, now));
        report.series[row.kind] = series_of(nodes, row.kind);
    }
    for (const auto& [node, list] : nodes) {
        add_latest_state(report, list);
    }
    for (const auto& [node, times] : saved.gaps) {
        report.gaps[node] = times.size();
    }
    return report;
}

} // namespace trefoil
