// Gauges and counters of expected work.
#pragma once

#include <string>

#include "proxy_state.hpp"

namespace trefoil {

/// Returns the metrics of placing and admitting by expected work in the Prometheus text format;
/// empty where nothing is placed by it.
std::string work_metrics_text(const proxy_state& state);

} // namespace trefoil
