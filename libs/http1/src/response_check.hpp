// Checks of what http_parser accepts though HTTP/1.1 doesn't allow it.
#pragma once

#include <optional>
#include <string_view>

#include <trefoil/http1/message.hpp>

namespace trefoil::http1 {

/// Returns the length of the longest part at the start of the text that consists of token
/// characters, which the name of a field is made of (RFC 9110 5.6.2).
std::size_t token_length(std::string_view text);

/// Returns the length of the longest part at the start of the text without a control byte other
/// than a tab. The value of a field and a reason have none (RFC 9110 5.5, RFC 9112 4).
std::size_t text_length(std::string_view text);

/// Returns why a response with this head is not valid; empty if it is. `line_start` holds the
/// first section_lines::max_start_bytes of the status line.
std::optional<parse_failure> check_response(const response_head& head, std::string_view line_start);

} // namespace trefoil::http1
