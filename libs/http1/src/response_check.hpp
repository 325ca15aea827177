// Checks that a response head which http_parser accepts is one that HTTP/1.1 allows.
#pragma once

#include <optional>
#include <string_view>

#include <trefoil/http1/message.hpp>

namespace trefoil::http1 {

/// Number of bytes of a status line up to the byte behind the status: `HTTP/1.1 200` and a space or
/// the end of the line.
inline constexpr std::size_t status_line_start_bytes = 13;

/// Returns why a response with this head is not valid; empty if it is. `line_start` holds the first
/// status_line_start_bytes of the status line.
std::optional<parse_failure> check_response(std::string_view line_start);

} // namespace trefoil::http1
