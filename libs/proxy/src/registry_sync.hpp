// Keeps a proxy's beliefs in step with the registry.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <trefoil/http1/loop_timer.hpp>
#include <trefoil/proxy/registry.hpp>
#include <trefoil/proxy/registry_follower.hpp>

#include "proxy_state.hpp"

namespace trefoil {

/// Carries out the follower's steps and applies what they bring.
class registry_view {
public:
    registry_view(proxy_state& state, registry_client& client, std::uint64_t seed);
    registry_view(const registry_view&) = delete;
    registry_view& operator=(const registry_view&) = delete;

    /// Begins to follow.
    void start() { step(); }

    /// True once everything was read.
    bool has_read() const { return has_read_; }

private:
    void step();
    void read_config();
    void read_instances(std::uint64_t revision);
    void watch(const watch_registry& step);
    /// The changes, or nothing after a problem, which is noted.
    std::optional<registry_changes> take(registry_result result);
    void apply(std::vector<registry_change> changes);
    /// Takes a full list in; what is missing in it is gone.
    void apply_list(std::vector<registry_change> changes);
    void apply_change(registry_change change);
    void apply_config(traffic_config config);
    void note_directory(const instance_id& id, directory_change change);
    void own_entry_changed();
    void note_failure(registry_problem why);
    void note_success();

    proxy_state& state_;
    registry_client& client_;
    time_point started_;
    registry_follower follower_;
    bool has_read_ = false;
    bool is_reported_lost_ = false;
    std::int64_t own_started_at_ms_ = 0;
    /// Ends a pause.
    http1::loop_timer timer_;
};

} // namespace trefoil
