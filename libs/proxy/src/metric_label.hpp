// Values of labels in the Prometheus text format.
#pragma once

#include <string>
#include <string_view>

namespace trefoil {

/// Escapes the reserved characters of the format in the value of a label.
std::string metric_label(std::string_view value);

} // namespace trefoil
