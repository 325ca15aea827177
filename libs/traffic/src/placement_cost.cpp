#include <trefoil/traffic/placement_cost.hpp>

#include <algorithm>
#include <cmath>

namespace trefoil {
namespace {

/// Time in which the weight of a load report halves.
constexpr duration load_half_life = 500ms;
/// The same where requests leave the failure domain by need: other failure domains report rarely.
constexpr duration work_half_life = 2s;
/// A request is not taken to have waited for more than this share of its latency.
constexpr double max_wait_share = 0.75;

double freshness_of(time_point now, const known_load& load, duration half_life) {
    return std::exp2(-to_seconds(now - load.reported_at) / to_seconds(half_life));
}

} // namespace

double occupancy_of(time_point now, std::uint32_t slots, const known_load& load) {
    const double own = load.in_flight / std::max<double>(slots, 1);
    if (!load.report) {
        return own;
    }
    const auto& report = *load.report;
    const double limit = std::max<double>(report.limit, 1);
    const double since_report = static_cast<double>(load.in_flight) - load.in_flight_at_report;
    const double reported = (report.in_flight + report.queued + since_report) / limit;
    return std::max(freshness_of(now, load, load_half_life) * reported, own);
}

completion_cost completion_cost_of(time_point now, std::uint32_t slots, const known_load& load,
                                   const instance_work& work, duration target_latency) {
    const auto target_us = static_cast<double>(target_latency.count());
    const bool is_known = work.mean > duration{0};
    const auto mean_us = is_known ? static_cast<double>(work.mean.count()) : target_us;
    double limit = std::max<double>(slots, 1);
    double calls = load.in_flight;
    double remaining_us = mean_us;
    if (load.report) {
        const auto& report = *load.report;
        limit = std::max<double>(report.limit, 1);
        const double reported = static_cast<double>(report.in_flight) + report.queued;
        if (report.backlog_ms && reported > 0) {
            remaining_us = *report.backlog_ms * 1e3 / reported;
        }
        const double since_report = static_cast<double>(load.in_flight) - load.in_flight_at_report;
        calls =
            std::max(freshness_of(now, load, work_half_life) * (reported + since_report), calls);
    }
    completion_cost cost;
    cost.ahead = calls * mean_us / limit / target_us;
    if (calls >= limit) {
        cost.wait = (calls - limit + 1) * remaining_us / limit / target_us;
    }
    cost.service = static_cast<double>(work.own.count()) / target_us;
    return cost;
}

duration probable_wait(const std::optional<load_report>& report, duration latency) {
    if (!report || !report->backlog_ms || report->queued == 0 || report->limit == 0) {
        return duration{0};
    }
    const double calls = static_cast<double>(report->in_flight) + report->queued;
    const double wait_us = *report->backlog_ms * 1e3 * report->queued / calls / report->limit;
    const double most_us = static_cast<double>(latency.count()) * max_wait_share;
    return duration(static_cast<duration::rep>(std::min(wait_us, most_us)));
}

} // namespace trefoil
