#include <trefoil/traffic/route_table.hpp>

#include <algorithm>

namespace trefoil {
namespace {

std::string normalised_host(std::string_view host) {
    std::string out(host.substr(0, host.find(':')));
    std::transform(out.begin(), out.end(), out.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return out;
}

} // namespace

route_table::route_table(traffic_config config, std::uint64_t key_salt)
    : config_(std::make_shared<const traffic_config>(std::move(config))), priorities_(*config_) {
    for (const auto& entry : config_->routes) {
        by_host_[normalised_host(entry.host)].push_back(&entry);
    }
    for (auto& [host, routes] : by_host_) {
        std::stable_sort(routes.begin(), routes.end(), [](const route* left, const route* right) {
            return left->path_prefix.size() > right->path_prefix.size();
        });
    }
    if (config_->workspaces) {
        workspaces_.emplace(
            std::shared_ptr<const std::vector<workspace_entry>>(config_, &*config_->workspaces),
            key_salt);
    }
}

std::shared_ptr<const route> route_table::find(std::string_view host,
                                               std::string_view target) const {
    const auto found = by_host_.find(normalised_host(host));
    if (found == by_host_.end()) {
        return nullptr;
    }
    const auto path = target.substr(0, target.find('?'));
    for (const auto* entry : found->second) {
        if (path.starts_with(entry->path_prefix)) {
            return {config_, entry};
        }
    }
    return nullptr;
}

std::uint32_t route_table::max_connections(const service_name& service) const {
    for (const auto& entry : config_->services) {
        if (entry.service == service) {
            return entry.max_connections;
        }
    }
    return 0;
}

} // namespace trefoil
