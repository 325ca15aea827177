// What operators read from a node.
#pragma once

#include <string>

#include <trefoil/control/control_channel.hpp>
#include <trefoil/core/node_core.hpp>
#include <trefoil/wire/http_message.hpp>

namespace trefoil {

/// What the pages show.
struct admin_view {
    const core_settings& settings;
    const core_status& status;
    const call_metrics& metrics;
    control_traffic traffic;
    time_point now;
    time_point started;
};

/// Answers /metrics (Prometheus text), /status (JSON), /healthz; 404 for other paths.
http_answer admin_answer(const std::string& path, const admin_view& view);

} // namespace trefoil
