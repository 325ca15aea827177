// HTTP/1.1 client with a pool of persistent connections.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include <trefoil/base/endpoint.hpp>
#include <trefoil/base/time.hpp>
#include <trefoil/http1/message.hpp>

struct uv_loop_s;

namespace trefoil::http1 {

/// The reason why an exchange ended without a complete response.
enum class exchange_failure : std::uint8_t {
    /// No connection was established, so no bytes were sent.
    not_sent,
    /// The connection ended after part of the request may have been sent and before the first byte
    /// of a response.
    connection_lost,
    /// The response is truncated or is not valid HTTP, or does not begin within 1 MiB of interim
    /// responses and responses to earlier requests.
    bad_answer,
};

/// Why a response could not be read.
enum class answer_fault : std::uint8_t {
    none,
    /// Bytes that are not HTTP.
    malformed,
    /// The connection ended within the response.
    truncated,
    /// The status is not three digits from 100 to 599.
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
    /// The response did not begin within 1 MiB of interim responses and responses to earlier
    /// requests.
    endless,
    /// The response holds a part of another one, before its own head or within its body, or a
    /// response that is discarded broke off in front of it.
    mixed,
};

std::string_view name_of(answer_fault fault);

/// What is known of the connection of an exchange, for logs.
struct connection_use {
    /// Number of the connection, counted from the first one of the client.
    std::uint64_t connection = 0;
    /// Number of the request on its connection; the first one has 1.
    std::uint32_t request = 0;
    answer_fault fault = answer_fault::none;

    friend bool operator==(const connection_use&, const connection_use&) = default;
};

/// Why bytes of the peer were not passed on as part of a response.
enum class discard_cause : std::uint8_t {
    /// A response with the id of another request.
    foreign_id,
    /// A response without an id, on a connection that has carried requests before.
    no_id,
    /// Bytes on a connection without a request.
    not_asked,
};

std::string_view name_of(discard_cause cause);

/// A response, or bytes without a request, that the client has discarded.
struct discarded_answer {
    discard_cause cause = discard_cause::not_asked;
    connection_use use;
    /// Id of the request that waits on the connection; empty if there is none.
    std::string waiting_id;
    /// The discarded head; empty if none was read.
    std::optional<response_head> head;
};

/// The header field by which responses name their requests, and the id of the request. A connection
/// carries at most one request with the same id, because the response to an earlier one may follow
/// late, or twice. For the same reason a response without an id is accepted only as that of the
/// first request of its connection.
struct response_identity {
    std::string field;
    std::string id;
};

/// The parts of a response in the order of their arrival. The last event of an exchange is
/// message_end or exchange_failure.
using exchange_event = std::variant<response_head, body_piece, message_end, exchange_failure>;

/// Per-request options of client::start().
struct exchange_options {
    /// Maximum time to establish the connection. The exchange fails with
    /// exchange_failure::not_sent when it elapses.
    std::chrono::milliseconds connect_timeout{1000};
    /// Maximum time that a pooled connection may have been idle to be reused. A request that must
    /// not be retried needs a shorter limit, because the peer may be closing an idle connection at
    /// the same moment.
    std::chrono::milliseconds max_idle_time{60'000};
    /// Maximum time that sent data may stay unacknowledged, also by a peer that is alive and does
    /// not read. The exchange fails with exchange_failure::connection_lost when it elapses. Unset
    /// for data that may have to wait until the peer reads: only silence of the peer ends it.
    std::optional<std::chrono::milliseconds> acknowledgement_timeout;
    /// How a response that belongs to an earlier request on the same connection is told apart. Such
    /// a response is discarded. If unset, every response is accepted.
    std::optional<response_identity> identity;
};

/// One request and its response. Destroying the exchange before its last event closes its
/// connection, with a TCP reset if the request was not sent completely.
class exchange {
public:
    virtual ~exchange() = default;

    /// Sends the next bytes of the request body with the framing given in the request head.
    virtual void send_body(std::string_view bytes) = 0;
    /// Marks the end of the request body.
    virtual void finish_body() = 0;
    /// Number of request bytes that are buffered and not yet written to the socket.
    virtual std::size_t unsent_bytes() const = 0;
    /// Sets a function that is called when all buffered request bytes have been written to the
    /// socket. It may destroy the exchange.
    virtual void set_drained_handler(std::function<void()> on_drained) = 0;

    /// Stops reading from the connection until resume().
    virtual void pause() = 0;
    virtual void resume() = 0;

    /// True once the connection is established and transmission of the request has started.
    virtual bool was_sent() const = 0;

    /// The connection of the exchange. Stays valid after its last event.
    virtual connection_use use() const = 0;
};

/// Limits of the pool of idle connections.
struct connection_pool_limits {
    /// Maximum number of idle connections per address.
    std::size_t max_idle_connections = 64;
    /// Time after which an idle connection is closed. A shorter timeout in the peer's Keep-Alive
    /// field takes precedence.
    std::chrono::milliseconds idle_timeout{8000};

    friend bool operator==(const connection_pool_limits&, const connection_pool_limits&) = default;
};

/// Cumulative counters since the client was created.
struct client_counts {
    std::uint64_t connections_opened = 0;
    std::uint64_t requests = 0;
    /// Responses to earlier requests, and data received on idle connections.
    std::uint64_t unexpected_answers = 0;
};

/// Sends each request over a new or a pooled connection, without pipelining. A connection returns
/// to the pool only after a complete response to a complete request, with no bytes after the
/// response. The client never retries a request.
///
/// Connections can fall silent without an error, often many at once. When a request has had no
/// acknowledgement in time, the idle connections to its address are closed that have not been used
/// since; when this happens at two addresses in short succession, those to all addresses.
class client {
public:
    using handler = std::function<void(exchange_event)>;
    using discard_handler = std::function<void(const discarded_answer&)>;

    client(uv_loop_s* loop, connection_pool_limits limits);
    ~client();
    client(const client&) = delete;
    client& operator=(const client&) = delete;

    /// Starts a request. `body` holds the first bytes of the request body, or all of them if
    /// `is_complete` is true. The handler is called asynchronously, never from within start(), up
    /// to and including message_end or exchange_failure. It may destroy the exchange.
    std::unique_ptr<exchange> start(const endpoint& to, const request_head& head,
                                    std::string_view body, bool is_complete,
                                    exchange_options options, handler on_event);

    /// Sets a function that is told of each response that is discarded.
    void set_discard_handler(discard_handler on_discarded);

    /// Closes the idle connections whose idle timeout has elapsed. The owner calls it about once a
    /// second.
    void close_expired_connections();

    const client_counts& counts() const;

private:
    class impl;
    std::shared_ptr<impl> impl_;
};

} // namespace trefoil::http1
