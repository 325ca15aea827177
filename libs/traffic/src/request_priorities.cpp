#include <trefoil/traffic/request_priorities.hpp>

#include <algorithm>
#include <set>

namespace trefoil {

request_priorities::request_priorities(const traffic_config& config)
    : has_workspaces_(config.workspaces.has_value()) {
    if (!has_workspaces_) {
        return;
    }
    std::set<priority_pair> pairs;
    std::set<std::uint32_t> of_workspaces;
    for (const auto& from : *config.workspaces) {
        if (from.priority) {
            of_workspaces.insert(*from.priority);
        }
    }
    for (const auto& entry : config.routes) {
        pairs.insert(pair_of(nullptr, entry));
        for (const auto priority : of_workspaces) {
            pairs.insert({priority, entry.priority});
        }
    }
    pairs_.assign(pairs.begin(), pairs.end());
}

request_priorities::priority_pair request_priorities::pair_of(const workspace_entry* from,
                                                              const route& entry) {
    const auto own = from == nullptr ? std::nullopt : from->priority;
    return {own.value_or(entry.priority), entry.priority};
}

std::uint32_t request_priorities::priority_of(const workspace_entry* from,
                                              const route& entry) const {
    if (!has_workspaces_) {
        return entry.priority;
    }
    const auto at = std::lower_bound(pairs_.begin(), pairs_.end(), pair_of(from, entry));
    return std::min(static_cast<std::uint32_t>(at - pairs_.begin()), lowest_priority);
}

} // namespace trefoil
