// Pages of the admin listener.
#pragma once

#include <string>

#include <trefoil/control/control_channel.hpp>
#include <trefoil/core/node_core.hpp>
#include <trefoil/wire/http_message.hpp>

namespace trefoil {

/// State of the node that the pages show.
struct admin_view {
    const core_settings& settings;
    const core_status& status;
    const call_metrics& metrics;
    control_traffic traffic;
    time_point now;
    time_point started;
};

/// Returns the page for a path: /metrics (Prometheus text format), /status (JSON) or /healthz,
/// which has status 503 until a table is in force and while the node is leaving. Other paths give
/// 404.
http_answer admin_answer(const std::string& path, const admin_view& view);

} // namespace trefoil
