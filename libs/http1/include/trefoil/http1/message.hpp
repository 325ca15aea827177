// HTTP/1.1 messages as a sequence of parts, and their serialization.
#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include <trefoil/wire/http_message.hpp>

namespace trefoil::http1 {

/// Framing of a message body: how its end is marked (RFC 9112 6).
enum class body_framing : std::uint8_t { none, length, chunked, connection_close };

/// A request without its body: request line and header fields. Field names are in lower case.
struct request_head {
    std::string method;
    /// Path with query, exactly as on the wire.
    std::string target;
    std::vector<http_header> headers;
    body_framing framing = body_framing::none;
    /// Length of the body in bytes if the framing is `length`.
    std::uint64_t content_length = 0;

    friend bool operator==(const request_head&, const request_head&) = default;
};

/// A response without its body: status line and header fields. Field names are in lower case.
struct response_head {
    int status = 0;
    std::string reason;
    std::vector<http_header> headers;
    body_framing framing = body_framing::none;
    /// Length of the body in bytes if the framing is `length`.
    std::uint64_t content_length = 0;
    /// True if no body follows, but the framing is `length` if the response names the length of the
    /// body that is omitted (response to a HEAD request, or status 304).
    bool omits_body = false;

    friend bool operator==(const response_head&, const response_head&) = default;
};

/// Part of a body, with its framing removed.
struct body_piece {
    std::string bytes;

    friend bool operator==(const body_piece&, const body_piece&) = default;
};

/// End of a complete message.
struct message_end {
    /// True if the connection is persistent, so that another message may follow.
    bool keep_alive = false;
    /// True if bytes that were read together with the message follow it.
    bool is_followed = false;
    /// The first of these bytes, at most 16.
    std::string next_bytes = {};

    friend bool operator==(const message_end&, const message_end&) = default;
};

/// The reason why a message cannot be parsed. The parser reads nothing more afterwards.
enum class parse_failure : std::uint8_t {
    malformed,
    head_too_large,
    truncated,
    /// The status of a response is not three digits from 100 to 599.
    bad_status,
    /// A name of a field holds a byte that is no token character, for instance a space, or a value
    /// holds a control byte.
    bad_field,
    /// The version of a response is not HTTP/1.x.
    bad_version,
    /// The reason of a response holds a control byte.
    bad_reason,
    /// A CR in the head, or where a line of the framing ends, is not followed by an LF.
    bad_line_end,
    /// The body of a response has a transfer coding other than chunked.
    bad_coding,
};

using request_event = std::variant<request_head, body_piece, message_end, parse_failure>;
using response_event = std::variant<response_head, body_piece, message_end, parse_failure>;

/// True for a status whose responses never have a body (RFC 9112 6.3): 1xx, 204 and 304.
bool has_no_body(int status);

/// True for a status whose responses may have a Content-Length or Transfer-Encoding field (RFC 9110
/// 8.6, RFC 9112 6.1): all except 1xx and 204.
bool may_name_framing(int status);

/// Serializes a request head. The framing fields are generated from `framing` and
/// `content_length`; the caller must have removed the hop-by-hop fields from `headers`.
std::string to_bytes(const request_head& head);

/// Serializes a response head in the same way. With framing `none`, it adds `content-length: 0`
/// unless the status excludes a body or the body is omitted. If `closes` is true, it adds
/// `connection: close`.
std::string to_bytes(const response_head& head, bool closes);

/// Encodes one chunk of a chunked body. `bytes` must not be empty, as an empty chunk ends the body.
std::string to_chunk(std::string_view bytes);

/// The last chunk, which ends a chunked body.
inline constexpr std::string_view last_chunk = "0\r\n\r\n";

} // namespace trefoil::http1
