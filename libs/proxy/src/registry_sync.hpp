// Applies the configuration and the instances of the registry to the state of a proxy.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <trefoil/http1/loop_timer.hpp>
#include <trefoil/proxy/registry.hpp>
#include <trefoil/proxy/registry_follower.hpp>

#include "proxy_state.hpp"

namespace trefoil {

/// Executes the steps of the registry follower; applies the changes to the proxy state and logs
/// each of them.
class registry_sync {
public:
    registry_sync(proxy_state& state, registry_client& client, std::uint64_t seed);
    registry_sync(const registry_sync&) = delete;
    registry_sync& operator=(const registry_sync&) = delete;

    /// Starts the first read.
    void start() { step(); }

    /// True once the configuration and the instances have been read completely.
    bool has_read() const { return has_read_; }

    /// Time since the registry last answered a request; zero before its first answer.
    duration answer_age() const;

private:
    /// The request to the registry that is in progress.
    struct pending_request {
        /// `read` or `watch`, for the log.
        std::string_view kind = "read";
        time_point started;
    };

    void step();
    void read_config(duration answer_timeout);
    void read_instances(duration answer_timeout, std::uint64_t revision);
    void watch(const watch_registry& next);
    void note_request(std::string_view kind);
    /// Returns the changes of a result. An error is reported to the follower and yields nothing.
    std::optional<registry_changes> accept_result(registry_result result);
    void apply(std::vector<registry_change> changes);
    /// Applies a full list of instances. Instances that are not in the list are treated as removed.
    void apply_list(std::vector<registry_change> changes);
    void apply_change(registry_change change);
    void apply_config(traffic_config config);
    void log_directory_change(const instance_id& id, directory_change change);
    void update_local_target();
    void handle_failure(registry_error why);
    void handle_success();

    proxy_state& state_;
    registry_client& client_;
    time_point started_;
    registry_follower follower_;
    bool has_read_ = false;
    bool is_outage_logged_ = false;
    pending_request request_;
    /// Empty until the registry has answered for the first time.
    std::optional<time_point> last_answer_;
    /// Time between the last two answers of the registry.
    duration silence_{0};
    /// The process of the local target as last listed; empty before the first.
    std::optional<std::pair<instance_id, std::int64_t>> local_process_;
    /// Fires at the end of a pause between two steps.
    http1::loop_timer timer_;
};

} // namespace trefoil
