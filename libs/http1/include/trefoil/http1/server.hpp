// HTTP/1.1 server that streams request and response bodies.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <trefoil/base/endpoint.hpp>
#include <trefoil/base/time.hpp>
#include <trefoil/http1/body_memory.hpp>
#include <trefoil/http1/message.hpp>
#include <trefoil/http1/tcp_stream.hpp>

struct uv_loop_s;

namespace trefoil::http1 {

/// Errors of the listener.
enum class server_failure : std::uint8_t { cannot_listen };

absl::StatusCode status_code(server_failure failure);
std::string_view name_of(server_failure failure);

/// Limits on the size and the duration of what a client sends.
struct server_limits {
    /// A request with a larger head is answered with status 431.
    std::size_t max_head_bytes = 16384;
    /// A request whose Content-Length is larger is answered with status 413. The connection of a
    /// request whose body exceeds the limit during reading is closed.
    std::uint64_t max_body_bytes = 64U << 20U;
    /// Reading from a connection is paused while more bytes of a request body than this wait to be
    /// taken.
    std::size_t max_waiting_body_bytes = 512U << 10U;
    /// Maximum time from the first byte of a request head to its end. A slower request is answered
    /// with status 408.
    std::chrono::milliseconds head_timeout{3000};
    /// Maximum time that a connection may be idle between requests.
    std::chrono::milliseconds idle_timeout{15'000};
    /// Maximum number of connections that are being ended and wait until their clients have taken
    /// everything. One more closes the oldest of them.
    std::size_t max_ending_connections = 512;

    friend bool operator==(const server_limits&, const server_limits&) = default;
};

/// Callbacks of the owner of a request. Each may be empty.
struct served_handlers {
    /// More of the request body has arrived, or the body is complete.
    std::function<void()> on_body;
    /// The connection is closed. A response no longer has any effect.
    std::function<void()> on_client_closed;
    /// All buffered response bytes have been written to the socket.
    std::function<void()> on_writable;
};

/// One request and the means to respond to it. Pipelined requests of one connection are passed on
/// as they arrive, up to a fixed number; their responses are sent in the order of the requests.
class served_request {
public:
    virtual ~served_request() = default;

    virtual const request_head& head() const = 0;

    /// Removes and returns the buffered bytes of the request body.
    virtual std::string take_body() = 0;
    /// Number of buffered bytes of the request body.
    virtual std::size_t body_size() const = 0;
    /// True once the whole body has arrived, even if part of it is still buffered.
    virtual bool is_body_complete() const = 0;

    virtual void set_handlers(served_handlers handlers) = 0;

    /// Sends a complete response. The framing of the head is replaced by the length of the body,
    /// unless the response omits its body. The body is not sent if the request has method HEAD or
    /// if the status excludes a body.
    virtual void respond(response_head head, std::string_view body) = 0;

    /// Starts a streamed response. A body that is delimited by the end of its connection is sent
    /// with chunked framing instead. Nothing of the body is sent if the request has method HEAD or
    /// if the status excludes a body.
    virtual void begin(response_head head) = 0;
    /// Sends the next bytes of the response body.
    virtual void write(std::string_view bytes) = 0;
    /// Ends the response body.
    virtual void finish() = 0;
    /// Closes the connection, so that the client detects the response as incomplete. Responses to
    /// earlier requests are sent first; nothing more is read from the client.
    virtual void abort() = 0;

    /// Number of response bytes that are buffered and not yet written to the socket.
    virtual std::size_t unsent_bytes() const = 0;

    /// True if the responses to all earlier requests of the connection are complete.
    virtual bool is_next() const = 0;
    /// Number of bytes that the client's machine has acknowledged on the connection so far, of all
    /// responses; zero once the connection is closed.
    virtual std::uint64_t acknowledged_bytes() const = 0;
};

/// Answers of a connection that was lost before the client's machine had acknowledged all of them.
struct cut_answers {
    close_reason cause = close_reason::reset;
    /// Number of bytes of answers that were not acknowledged.
    std::uint64_t unacknowledged_bytes = 0;
    /// Time since the client's machine last acknowledged anything.
    std::chrono::milliseconds since_acknowledgement{0};
    /// Number of requests of the connection without a complete answer.
    std::size_t open_requests = 0;
    /// Head of the last request with a complete answer, or of the oldest one if none has. Null if
    /// there is neither.
    const request_head* last_answered = nullptr;
};

/// Listens on an address and passes each request to a handler as soon as its head is complete.
class server {
public:
    using request_handler = std::function<void(std::shared_ptr<served_request>)>;
    using cut_handler = std::function<void(const cut_answers&)>;

    /// Starts listening on an IPv4 address. Fails with server_failure::cannot_listen.
    static absl::StatusOr<std::unique_ptr<server>> listen(uv_loop_s* loop,
                                                          const endpoint& listen_address,
                                                          server_limits limits,
                                                          request_handler on_request);
    /// Closes the listener and all connections.
    ~server();
    server(const server&) = delete;
    server& operator=(const server&) = delete;

    /// Replaces the limits. `max_head_bytes` applies to connections accepted from now on, the other
    /// limits apply to all connections.
    void set_limits(server_limits limits);

    /// Sets the memory for request bodies. While it is short, reading from a connection is paused
    /// as soon as bytes of a body wait to be taken, and between a complete request and its answer.
    /// The memory must outlive the server.
    void set_body_memory(const body_memory& memory);

    /// Sets a function that is told of answers that a client can't have received whole.
    void set_cut_handler(cut_handler on_cut);

    /// Adds `connection: close` to every further response and closes the connection after it.
    void close_connections_after_answers();

    /// Number of requests without a complete response.
    std::size_t pending() const;

    /// True if a client has not acknowledged all of its answers. A process that exits then may cut
    /// them.
    bool has_unread_answers() const;
    /// Tells the cut handler of all answers that are not acknowledged. To be called before the
    /// process exits nevertheless.
    void report_unread_answers() const;

    /// Closes the connections whose idle or head timeout has elapsed. The owner calls it a few
    /// times a second.
    void close_timed_out_connections();

private:
    class impl;
    explicit server(std::unique_ptr<impl> made);
    std::unique_ptr<impl> impl_;
};

} // namespace trefoil::http1
