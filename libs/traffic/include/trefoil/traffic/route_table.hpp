// Finds the route of a request.
#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include <trefoil/traffic/traffic_config.hpp>

namespace trefoil {

/// The routes of one configuration, by host and prefix. A found route stays valid as long as it is
/// held, also when the table is replaced.
class route_table {
public:
    explicit route_table(traffic_config config);

    /// The route of the host with the longest prefix that begins the path; null if there is none.
    /// The host may have a port; the target may have a query.
    std::shared_ptr<const route> find(std::string_view host, std::string_view target) const;

    const traffic_config& config() const { return *config_; }

    /// Connections that an instance of the service accepts; 0 if the service is not configured.
    std::uint32_t max_connections(const service_name& service) const;

private:
    std::shared_ptr<const traffic_config> config_;
    /// Routes by host, the longest prefix first.
    std::unordered_map<std::string, std::vector<const route*>> by_host_;
};

} // namespace trefoil
