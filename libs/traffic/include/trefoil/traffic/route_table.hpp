// Finds the route of a request.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include <trefoil/traffic/request_priorities.hpp>
#include <trefoil/traffic/traffic_config.hpp>
#include <trefoil/workspace/workspace_table.hpp>

namespace trefoil {

/// The routes of one configuration, by host and path prefix. A returned route keeps its
/// configuration alive, so it stays valid after the table is replaced.
class route_table {
public:
    /// `key_salt` is a random number of the process, by which keys of workspaces are looked up.
    explicit route_table(traffic_config config, std::uint64_t key_salt = 0);

    /// Returns the route of the host with the longest prefix of the path, or null if there is none.
    /// The host may include a port and is compared in lower case; the target may include a query.
    std::shared_ptr<const route> find(std::string_view host, std::string_view target) const;

    const traffic_config& config() const { return *config_; }

    /// Returns the number of connections that an instance of the service accepts, or 0 if the
    /// service is not configured.
    std::uint32_t max_connections(const service_name& service) const;

    const request_priorities& priorities() const { return priorities_; }

    /// The workspaces by their keys; null if the configuration lists none, so that requests need no
    /// key.
    const workspace_table* workspaces() const { return workspaces_ ? &*workspaces_ : nullptr; }

private:
    std::shared_ptr<const traffic_config> config_;
    request_priorities priorities_;
    /// Routes of each host, the longest prefix first.
    std::unordered_map<std::string, std::vector<const route*>> by_host_;
    std::optional<workspace_table> workspaces_;
};

} // namespace trefoil
