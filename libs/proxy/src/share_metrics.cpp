#include "share_metrics.hpp"

#include <algorithm>
#include <utility>
#include <vector>

#include <fmt/format.h>

#include "metric_label.hpp"

namespace trefoil {
namespace {

/// A refusal counts as late after the target latency divided by this.
constexpr int late_divisor = 8;
/// Requests that begin within this time of each other meet the same level.
constexpr duration same_time = 100ms;

} // namespace

void share_metrics::record(const share_sample& ended) {
    const bool is_late = ended.is_refused && ended.target_latency > duration{0} &&
                         ended.took > ended.target_latency / late_divisor;
    late_refusals_ += is_late ? 1 : 0;
    if (ended.is_nested) {
        return;
    }
    const bool has_room = workspaces_.contains(ended.workspace) || workspaces_.size() < max_counted;
    auto& counts = has_room ? workspaces_[ended.workspace] : others_;
    ++(ended.is_refused ? counts.refused : counts.admitted);
    if (ended.leads_to_short_service && (ended.is_shed || !ended.is_refused)) {
        record_order(ended);
    }
}

void share_metrics::record_order(const share_sample& ended) {
    const auto priority = std::min<std::size_t>(ended.priority, priorities - 1);
    if (!ended.is_refused) {
        auto& latest = admitted_at_[priority];
        latest = std::max(latest.value_or(ended.began), ended.began);
        return;
    }
    const bool is_inverted =
        std::any_of(admitted_at_.begin() + priority + 1, admitted_at_.end(), [&](const auto& at) {
            return at && *at > ended.began - same_time && *at < ended.began + same_time;
        });
    inversions_ += is_inverted ? 1 : 0;
}

std::string share_metrics::text(std::uint64_t runs_turned_away) const {
    using entry = std::pair<workspace_name, workspace_counts>;
    std::vector<entry> sorted(workspaces_.begin(), workspaces_.end());
    std::sort(sorted.begin(), sorted.end(), [](const entry& left, const entry& right) {
        return std::pair(right.second.total(), left.first) <
               std::pair(left.second.total(), right.first);
    });
    auto others = others_;
    while (sorted.size() > max_shown) {
        others.admitted += sorted.back().second.admitted;
        others.refused += sorted.back().second.refused;
        sorted.pop_back();
    }
    std::string out = fmt::format("# TYPE trefoil_late_refusals_total counter\n"
                                  "trefoil_late_refusals_total {}\n"
                                  "# TYPE trefoil_runs_turned_away_total counter\n"
                                  "trefoil_runs_turned_away_total {}\n"
                                  "# TYPE trefoil_priority_inversions_total counter\n"
                                  "trefoil_priority_inversions_total {}\n"
                                  "# TYPE trefoil_begun_requests gauge\n",
                                  late_refusals_, runs_turned_away, inversions_);
    const auto append = [&](std::string_view name, const workspace_counts& counts) {
        out += fmt::format("trefoil_begun_requests{{workspace=\"{0}\",end=\"admitted\"}} {1}\n"
                           "trefoil_begun_requests{{workspace=\"{0}\",end=\"refused\"}} {2}\n",
                           name, counts.admitted, counts.refused);
    };
    for (const auto& [name, counts] : sorted) {
        append(metric_label(name.str()), counts);
    }
    append("others", others);
    return out;
}

} // namespace trefoil
