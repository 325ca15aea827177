#include <trefoil/admission/workspace_shares.hpp>

#include <algorithm>
#include <cmath>

namespace trefoil {
namespace {

/// Interval at which the demand decays.
constexpr duration decay_interval = 100ms;
/// A workspace with less demand than this is forgotten.
constexpr double min_demand = 1e-3;

} // namespace

double workspace_shares::place(time_point now, std::uint32_t priority,
                               const workspace_name& workspace, double fraction, double demand) {
    const auto index = std::min<std::size_t>(priority, priorities_.size() - 1);
    auto& counted = priorities_[index];
    decay(now, counted);
    auto& own = entry_of(counted, workspace);
    own += demand;
    const double ahead = fraction * own;
    double total = 0;
    double before = 0;
    for (const auto& [name, value] : counted.workspaces) {
        total += value;
        before += std::min(value, ahead);
    }
    return total > 0 ? before / total : fraction;
}

void workspace_shares::decay(time_point now, priority_demand& demand) {
    const auto age = now - demand.decayed_at;
    if (age < decay_interval) {
        return;
    }
    const double factor = std::exp2(-to_seconds(age) / to_seconds(half_life));
    for (auto& entry : demand.workspaces) {
        entry.second *= factor;
    }
    std::erase_if(demand.workspaces, [](const auto& entry) { return entry.second < min_demand; });
    demand.decayed_at = now;
}

double& workspace_shares::entry_of(priority_demand& demand, const workspace_name& workspace) {
    const bool is_full = demand.workspaces.size() >= max_workspaces;
    if (is_full && !demand.workspaces.contains(workspace)) {
        demand.workspaces.erase(std::min_element(
            demand.workspaces.begin(), demand.workspaces.end(),
            [](const auto& left, const auto& right) { return left.second < right.second; }));
    }
    return demand.workspaces[workspace];
}

} // namespace trefoil
