// State that is shared by all calls of one proxy.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include <trefoil/admission/workspace_shares.hpp>
#include <trefoil/base/log_queue.hpp>
#include <trefoil/base/random.hpp>
#include <trefoil/http1/body_memory.hpp>
#include <trefoil/http1/client.hpp>
#include <trefoil/proxy/proxy_settings.hpp>
#include <trefoil/quota/quota_ledger.hpp>
#include <trefoil/traffic/fleet_retry_limiter.hpp>
#include <trefoil/traffic/instance_directory.hpp>
#include <trefoil/traffic/placement.hpp>
#include <trefoil/traffic/returning_callers.hpp>
#include <trefoil/traffic/route_table.hpp>
#include <trefoil/traffic/weighted_round_robin.hpp>

#include "cut_answer_record.hpp"
#include "proxy_metrics.hpp"
#include "share_metrics.hpp"
#include "target_dispatcher.hpp"

struct uv_loop_s;

namespace trefoil {

/// Bytes of request bodies that a process holds before it takes less of each.
inline constexpr std::size_t max_held_body_bytes = 24U << 20U;

/// Routes, instances, routing and admission state, and connections of a proxy. Exists as long as
/// the process.
struct proxy_state {
    proxy_state(uv_loop_s* event_loop, proxy_settings initial_settings, std::uint64_t seed);

    /// Returns the time of the event loop.
    time_point now() const;

    /// Adds a record to the log if the log accepts records of its class. `make` is called only in
    /// that case.
    template <class Make>
    void add_log_record(log_class kind, Make make) {
        if (log.try_reserve(now(), kind)) {
            log.add(make());
        }
    }

    /// True if a stopping node starts no more work for callers: a request that was sent more than
    /// 3 s after the stop signal must not be cut off when the node exits.
    bool is_past_request_cutoff() const;

    /// Applies and logs what the local target has announced.
    void handle_announcement(const target_announcement& announced);

    /// Counts and logs what became of an answer of the local target.
    void handle_answer(const target_answer_report& report);

    /// Counts and logs answers that did not reach their receiver whole.
    void handle_cut(const http1::cut_answers& cut, answer_receiver receiver);

    /// Sends no more requests to the process of the instance that started at `started_at_ms`.
    void set_leaving(const instance_id& instance, std::int64_t started_at_ms);

    /// Tells the gate whether the process of the local target leaves or is no longer listed.
    void update_gate();

    /// Logs that a workspace begins or ends to be limited at this node.
    void log_limiting(const limiting_change& change);

    /// Sends the requests that were running when the local target crashed to every other node.
    void broadcast_crash(const crash_notice& notice);

    /// True if requests to the service are placed and admitted by their expected work.
    bool is_placed_by_work(const service_name& service) const;

    /// True if requests with keys may be admitted on the present copy of the configuration.
    bool are_keys_current() const;

    uv_loop_s* loop;
    /// Random number of the process for the lookup and the digests of keys.
    std::uint64_t key_salt;
    /// Time since the copy of the registry was last known to be current, on a clock that also
    /// counts while the machine is suspended.
    std::function<duration()> registry_age = [] { return duration::max(); };
    /// Memory for the request bodies of all calls.
    http1::body_memory bodies{max_held_body_bytes};
    proxy_settings settings;
    log_queue log;
    proxy_metrics metrics;
    /// Null until a configuration has been read.
    std::shared_ptr<const route_table> routes;
    instance_directory directory;
    placement placer;
    fleet_retry_limiter retry_limiter;
    /// Limits of workspaces. Its times are those of http1::boot_time().
    quota_ledger quotas;
    /// Tells other nodes of the use of limits before the next regular message.
    std::function<void()> tell_quota_use = [] {};
    weighted_round_robin rotation;
    returning_callers returning;
    workspace_shares shares;
    share_metrics share_counts;
    http1::client peers;
    crash_detector crashes;
    target_dispatcher dispatcher;
    target_announcement logged_announcement;
    /// The instance at the local target's address as last listed; empty before the first.
    std::optional<instance_id> local_instance;
    random_source random;
    /// Crash notices in flight, by number.
    std::map<std::uint64_t, std::unique_ptr<http1::exchange>> pending_notices;
    std::uint64_t next_notice_id = 0;
    /// True once a stop signal has been received.
    bool is_stopping = false;
    /// When the stop signal was received.
    time_point stop_began;
    /// Arrival time of the last request from this machine.
    time_point last_request;
};

} // namespace trefoil
