// HTTP/1.1 messages in the pieces in which they arrive.
#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include <trefoil/wire/http_message.hpp>

namespace trefoil::http1 {

/// How the end of a body is marked.
enum class body_end : std::uint8_t { none, length, chunks, connection_close };

/// Everything of a request but its body. Header names are in lower case.
struct request_head {
    std::string method;
    /// Path with query, as sent.
    std::string target;
    std::vector<http_header> headers;
    body_end framing = body_end::none;
    /// Bytes of the body if the framing is `length`.
    std::uint64_t content_length = 0;

    friend bool operator==(const request_head&, const request_head&) = default;
};

/// Everything of an answer but its body. Header names are in lower case.
struct response_head {
    int status = 0;
    std::string reason;
    std::vector<http_header> headers;
    body_end framing = body_end::none;
    /// Bytes of the body if the framing is `length`.
    std::uint64_t content_length = 0;

    friend bool operator==(const response_head&, const response_head&) = default;
};

/// Some bytes of a body, without their framing.
struct body_piece {
    std::string bytes;

    friend bool operator==(const body_piece&, const body_piece&) = default;
};

/// The message is complete.
struct message_end {
    /// True if another message may follow on the connection.
    bool keeps_connection = false;

    friend bool operator==(const message_end&, const message_end&) = default;
};

/// Why bytes are not a message. Nothing can be read from the connection afterwards.
enum class parse_failure : std::uint8_t { malformed, head_too_large, cut_off };

using request_event = std::variant<request_head, body_piece, message_end, parse_failure>;
using response_event = std::variant<response_head, body_piece, message_end, parse_failure>;

/// The bytes of a request's head. `connection` headers and framing are written from the other
/// members; hop-by-hop headers among `headers` must have been removed.
std::string to_bytes(const request_head& head);

/// The bytes of an answer's head. With `closes` the answer says that the connection ends after it.
std::string to_bytes(const response_head& head, bool closes);

/// One chunk of a chunked body; must not be empty.
std::string to_chunk(std::string_view bytes);

/// The end of a chunked body.
inline constexpr std::string_view last_chunk = "0\r\n\r\n";

} // namespace trefoil::http1
