// Priority of a whole request, from its workspace and its route.
#pragma once

#include <cstdint>
#include <utility>
#include <vector>

#include <trefoil/traffic/traffic_config.hpp>

namespace trefoil {

/// Orders requests by the priority of their workspace first and by that of their route within it.
/// The pairs that a configuration can produce are numbered from 0, the most important, so that
/// nodes with the same configuration number them alike. If the configuration lists no workspaces,
/// the priority of the route is the priority of the request.
class request_priorities {
public:
    explicit request_priorities(const traffic_config& config);

    /// Returns the priority of a request on the route. `from` is null for a request without a
    /// workspace. A request whose workspace has no priority, or which has no workspace, takes the
    /// place of a workspace with its route's priority.
    std::uint32_t priority_of(const workspace_entry* from, const route& entry) const;

private:
    /// Lowest priority that is distinguished.
    static constexpr std::uint32_t lowest_priority = 9;

    using priority_pair = std::pair<std::uint32_t, std::uint32_t>;

    static priority_pair pair_of(const workspace_entry* from, const route& entry);

    bool has_workspaces_;
    /// All pairs in ascending order.
    std::vector<priority_pair> pairs_;
};

} // namespace trefoil
