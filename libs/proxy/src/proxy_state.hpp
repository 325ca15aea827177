// What the calls of one proxy share.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include <trefoil/base/log_queue.hpp>
#include <trefoil/base/random.hpp>
#include <trefoil/http1/client.hpp>
#include <trefoil/proxy/proxy_settings.hpp>
#include <trefoil/traffic/instance_directory.hpp>
#include <trefoil/traffic/placement.hpp>
#include <trefoil/traffic/repeat_allowance.hpp>
#include <trefoil/traffic/returning_callers.hpp>
#include <trefoil/traffic/route_table.hpp>
#include <trefoil/traffic/weighted_rotation.hpp>

#include "proxy_metrics.hpp"
#include "target_dispatcher.hpp"

struct uv_loop_s;

namespace trefoil {

/// Beliefs, decisions and connections of a proxy. Lives as long as the process.
struct proxy_state {
    proxy_state(uv_loop_s* its_loop, proxy_settings its_settings, std::uint64_t seed);

    /// The loop's time.
    time_point now() const;

    /// Adds a record to the log if its class has room. `make` composes it only then.
    template <class Make>
    void note(log_class kind, Make make) {
        if (log.admits(now(), kind)) {
            log.add(make());
        }
    }

    /// Tells every other node which requests ran when the own target died.
    void spread(const death_notice& notice);

    uv_loop_s* loop;
    proxy_settings settings;
    log_queue log;
    proxy_metrics metrics;
    /// Null until a configuration was read.
    std::shared_ptr<const route_table> routes;
    instance_directory directory;
    placement places;
    repeat_allowance repeats;
    weighted_rotation rotation;
    returning_callers returning;
    http1::client peers;
    crash_watch crashes;
    target_gate gate;
    random_source random;
    /// Notices on their way, by number.
    std::map<std::uint64_t, std::unique_ptr<http1::exchange>> notices;
    std::uint64_t next_notice = 0;
    bool is_stopping = false;
    /// When a request last arrived from this machine.
    time_point last_request;
};

} // namespace trefoil
