// Compares the messages of one connection with each message on a connection of its own.
#pragma once

#include <algorithm>
#include <cstddef>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include <trefoil/http1/message_parser.hpp>

namespace trefoil::http1 {

/// Appends an event in the form that does not depend on how the bytes were split: adjacent pieces
/// of a body are joined, and `is_followed` is false.
template <class Event>
void append_unsplit(std::vector<Event>& to, Event event) {
    if (auto* end = std::get_if<message_end>(&event)) {
        end->is_followed = false;
    }
    auto* piece = std::get_if<body_piece>(&event);
    auto* last = to.empty() ? nullptr : std::get_if<body_piece>(&to.back());
    if (piece != nullptr && last != nullptr) {
        last->bytes += piece->bytes;
    } else {
        to.push_back(std::move(event));
    }
}

/// Feeds the bytes to a parser in pieces of the given size, without the end of the connection.
template <class Event, class Parser>
std::vector<Event> feed_in_pieces(Parser& parser, std::string_view bytes, std::size_t piece_bytes) {
    std::vector<Event> all;
    while (!bytes.empty()) {
        std::vector<Event> events;
        parser.feed(bytes.substr(0, piece_bytes), events);
        for (auto& event : events) {
            append_unsplit(all, std::move(event));
        }
        bytes.remove_prefix(std::min(piece_bytes, bytes.size()));
    }
    return all;
}

/// Splits the bytes behind each message. The last part is what follows the last whole message.
template <class Event, class Parser>
std::vector<std::string_view> split_messages(Parser& parser, std::string_view bytes) {
    std::vector<std::string_view> messages;
    std::size_t begin = 0;
    for (std::size_t at = 0; at < bytes.size(); ++at) {
        std::vector<Event> events;
        parser.feed(bytes.substr(at, 1), events);
        if (!events.empty() && std::holds_alternative<message_end>(events.back())) {
            messages.push_back(bytes.substr(begin, at + 1 - begin));
            begin = at + 1;
        }
    }
    messages.push_back(bytes.substr(begin));
    return messages;
}

} // namespace trefoil::http1
