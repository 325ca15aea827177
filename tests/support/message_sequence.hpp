// Compares the messages of one connection with each message on a connection of its own.
#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdlib>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include <trefoil/base/overloaded.hpp>
#include <trefoil/http1/message_parser.hpp>

namespace trefoil::http1 {

/// Appends an event in the form that does not depend on how the bytes were split: adjacent pieces
/// of a body are joined, and nothing is said to follow a message.
template <class Event>
void append_unsplit(std::vector<Event>& to, Event event) {
    if (auto* end = std::get_if<message_end>(&event)) {
        end->is_followed = false;
        end->next_bytes.clear();
    }
    auto* piece = std::get_if<body_piece>(&event);
    auto* last = to.empty() ? nullptr : std::get_if<body_piece>(&to.back());
    if (piece != nullptr && last != nullptr) {
        last->bytes += piece->bytes;
    } else {
        to.push_back(std::move(event));
    }
}

/// Appends the events of bytes that are fed to a parser in pieces of the given size.
template <class Event, class Parser>
void feed_in_pieces(std::vector<Event>& all, Parser& parser, std::string_view bytes,
                    std::size_t piece_bytes) {
    while (!bytes.empty()) {
        std::vector<Event> events;
        parser.feed(bytes.substr(0, piece_bytes), events);
        for (auto& event : events) {
            append_unsplit(all, std::move(event));
        }
        bytes.remove_prefix(std::min(piece_bytes, bytes.size()));
    }
}

/// Appends the events of the orderly end of a connection. A request parser is not told of it.
template <class Event, class Parser>
void finish(std::vector<Event>& all, Parser& parser) {
    if constexpr (requires(std::vector<Event> events) { parser.finish(events); }) {
        std::vector<Event> events;
        parser.finish(events);
        all.insert(all.end(), events.begin(), events.end());
    }
}

/// Returns the events of a connection with these bytes.
template <class Event, class Parser>
std::vector<Event> parse_connection(Parser& parser, std::string_view bytes,
                                    std::size_t piece_bytes) {
    std::vector<Event> all;
    feed_in_pieces(all, parser, bytes, piece_bytes);
    finish(all, parser);
    return all;
}

/// Appends the events of a message on a connection of its own. With `expects_no_body`, the next
/// final response has no body; the flag is reset once it has come.
inline void parse_alone(std::vector<response_event>& all, std::string_view message,
                        bool& expects_no_body) {
    response_parser parser;
    if (expects_no_body) {
        parser.expect_no_body();
    }
    const auto events = parse_connection<response_event>(parser, message, message.size());
    for (const auto& event : events) {
        const auto* head = std::get_if<response_head>(&event);
        const bool is_final = head != nullptr && head->status / 100 != 1;
        expects_no_body = expects_no_body && !is_final;
    }
    all.insert(all.end(), events.begin(), events.end());
}

/// Appends the events of a message on a connection of its own.
inline void parse_alone(std::vector<request_event>& all, std::string_view message,
                        std::size_t max_head_bytes) {
    request_parser parser(max_head_bytes);
    const auto events = parse_connection<request_event>(parser, message, message.size());
    all.insert(all.end(), events.begin(), events.end());
}

/// Aborts if anything follows a failure, a field lacks a name, or a body piece is outside a
/// message.
template <class Event>
void check_events(const std::vector<Event>& events) {
    bool is_in_message = false;
    bool has_failed = false;
    const auto require = [](bool condition) {
        if (!condition) {
            std::abort();
        }
    };
    for (const auto& event : events) {
        require(!has_failed);
        std::visit(overloaded{[&](const body_piece&) { require(is_in_message); },
                              [&](const message_end&) {
                                  require(is_in_message);
                                  is_in_message = false;
                              },
                              [&](parse_failure) { has_failed = true; },
                              [&](const auto& head) {
                                  require(!is_in_message);
                                  is_in_message = true;
                                  for (const auto& field : head.headers) {
                                      require(!field.name.empty());
                                  }
                              }},
                   event);
    }
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
