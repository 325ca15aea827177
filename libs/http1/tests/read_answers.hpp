// Reads responses into a short text, for tests of the parser.
#pragma once

#include <algorithm>
#include <string>
#include <string_view>
#include <vector>

#include <trefoil/base/overloaded.hpp>
#include <trefoil/http1/message_parser.hpp>

namespace trefoil::http1 {

/// Parses the bytes of a connection in parts of the given size and returns the events as text. With
/// `is_closed`, an orderly end of the connection follows the bytes.
inline std::string read_answers(const std::string& bytes, bool is_closed = false,
                                std::size_t piece = 1000) {
    response_parser parser;
    std::vector<response_event> events;
    for (std::size_t at = 0; at < bytes.size(); at += piece) {
        parser.feed(std::string_view(bytes).substr(at, piece), events);
    }
    if (is_closed) {
        parser.finish(events);
    }
    std::string all;
    for (const auto& event : events) {
        all += std::visit(
                   overloaded{[](const response_head& head) { return std::to_string(head.status); },
                              [](const body_piece& piece) { return "[" + piece.bytes + "]"; },
                              [](const message_end&) -> std::string { return "end"; },
                              [](parse_failure) -> std::string { return "bad"; }},
                   event) +
               "; ";
    }
    return all;
}

} // namespace trefoil::http1
