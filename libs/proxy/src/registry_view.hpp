// Applies what the registry publishes to the state of a proxy.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <trefoil/proxy/registry.hpp>
#include <trefoil/proxy/registry_replica.hpp>

#include "proxy_state.hpp"

namespace trefoil {

/// How an answer was obtained, for the log.
struct answer_source {
    /// `read`, `watch` or `poll`.
    std::string_view call = "read";
    /// Time from the request to the answer.
    duration took{0};
    /// Time since the answer before.
    duration silence{0};
};

/// Merges records into the replica and applies those that are new to the routes and the directory;
/// logs each change.
class registry_view {
public:
    registry_view(proxy_state& state, const registry_client& client)
        : state_(state), client_(client) {}

    /// Merges a difference, from the registry or from another node.
    void merge(registry_difference difference, const answer_source& source);

    const registry_replica& replica() const { return replica_; }

    /// Drops the instances that have been held for as long as they may be.
    void drop_expired();

private:
    void apply(const std::vector<registry_record>& records);
    void apply_change(registry_change change, const registry_record& record);
    void log_ignored_records(std::size_t count);
    void apply_config(traffic_config config, const registry_record& record);
    /// True if the configuration replaces the one in force. A running node never goes back to a
    /// lower version. In a newer era, the version in force may have been written again with other
    /// content.
    bool is_newer(const traffic_config& config, const registry_record& record) const;
    /// `revision` is that of the registry's change that caused this one.
    void log_directory_change(const instance_id& id, directory_change change,
                              std::uint64_t revision);
    void update_local_target();

    proxy_state& state_;
    const registry_client& client_;
    registry_replica replica_;
    answer_source source_;
    /// The record of the configuration in force, and the era in which it was read.
    registry_record config_record_;
    std::uint64_t config_era_ = 0;
    /// The process of the local target as last listed; empty before the first.
    std::optional<std::pair<instance_id, std::int64_t>> local_process_;
};

} // namespace trefoil
