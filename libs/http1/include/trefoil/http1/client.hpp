// Outgoing HTTP/1.1 requests over kept connections.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include <trefoil/base/endpoint.hpp>
#include <trefoil/base/time.hpp>
#include <trefoil/http1/message.hpp>

struct uv_loop_s;

namespace trefoil::http1 {

/// Why an exchange has no complete answer.
enum class exchange_failure : std::uint8_t {
    /// No connection was made, so not a byte was sent.
    not_sent,
    /// The connection ended after some of the request was sent and before an answer began.
    lost,
    /// The answer broke off or is no HTTP.
    bad_answer,
};

using exchange_event = std::variant<response_head, body_piece, message_end, exchange_failure>;

/// How an exchange is carried out.
struct exchange_options {
    /// Time in which the connection must be made.
    std::chrono::milliseconds connect_timeout{1000};
    /// Oldest kept connection that may be used, by the time since its last answer. A request that
    /// can't be repeated takes a fresher one, as the peer may be closing it just now.
    std::chrono::milliseconds max_idle{60'000};
    /// False for an answer that belongs to an earlier request on the connection; it is dropped.
    std::function<bool(const response_head&)> is_expected;
};

/// One request and its answer. Destroying it before the end closes its connection.
class exchange {
public:
    virtual ~exchange() = default;

    /// Sends more of the body, framed as the head says.
    virtual void send_body(std::string_view bytes) = 0;
    /// The body is complete.
    virtual void finish_body() = 0;
    /// Bytes of the request that have not left yet.
    virtual std::size_t unsent() const = 0;

    virtual void pause() = 0;
    virtual void resume() = 0;

    /// True once the request was begun on a connection.
    virtual bool was_sent() const = 0;
};

/// Limits of the connections that are kept.
struct client_limits {
    /// Connections kept idle for each address.
    std::size_t max_idle = 64;
    /// Time after which an idle connection is closed if the peer names none.
    std::chrono::milliseconds idle_timeout{8000};

    friend bool operator==(const client_limits&, const client_limits&) = default;
};

/// Counts of connections and requests since the start.
struct client_counts {
    std::uint64_t connections_opened = 0;
    std::uint64_t requests = 0;
    std::uint64_t unexpected_answers = 0;
};

/// Sends each request over a connection of its own or a kept one, one request at a time. A
/// connection is kept only after a complete answer to a complete request without surplus bytes.
/// A request is never sent a second time.
class client {
public:
    using handler = std::function<void(exchange_event)>;

    client(uv_loop_s* loop, client_limits limits);
    ~client();
    client(const client&) = delete;
    client& operator=(const client&) = delete;

    /// Begins a request with the first bytes of its body; `is_complete` if they are all. The
    /// handler is called later, until message_end or a failure, and may destroy the exchange.
    std::unique_ptr<exchange> start(const endpoint& to, const request_head& head,
                                    std::string_view body, bool is_complete,
                                    exchange_options options, handler on_event);

    /// Closes idle connections whose time is over. Called about once a second.
    void sweep();

    const client_counts& counts() const;

private:
    class impl;
    std::shared_ptr<impl> impl_;
};

} // namespace trefoil::http1
