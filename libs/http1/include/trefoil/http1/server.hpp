// An HTTP/1.1 listener whose messages are passed on in pieces.
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
#include <trefoil/http1/message.hpp>

struct uv_loop_s;

namespace trefoil::http1 {

/// Failures of the listener.
enum class server_failure : std::uint8_t { cannot_listen };

absl::StatusCode status_code(server_failure failure);
std::string_view name_of(server_failure failure);

/// Bounds of what a client may send and how long it may take.
struct server_limits {
    std::size_t max_head_bytes = 16384;
    /// Larger bodies with a stated length are answered 413.
    std::uint64_t max_body_bytes = 64U << 20U;
    /// Time from the first byte of a head to its end.
    std::chrono::milliseconds head_timeout{3000};
    /// Time that a connection may stay without a request.
    std::chrono::milliseconds idle_timeout{15'000};

    friend bool operator==(const server_limits&, const server_limits&) = default;
};

/// What a request's owner is told after it has been handed the request.
struct served_handlers {
    /// More of the body has arrived or it is complete.
    std::function<void()> on_body;
    /// The client is gone; answering has no effect any more.
    std::function<void()> on_gone;
    /// The client has taken what was written.
    std::function<void()> on_writable;
};

/// One request on a connection and the way to answer it. Requests of one connection are handed on
/// as they arrive, up to a bound; their answers leave in the order of the requests.
class served_request {
public:
    virtual ~served_request() = default;

    virtual const request_head& head() const = 0;

    /// Takes the bytes of the body that have arrived and were not taken.
    virtual std::string take_body() = 0;
    /// Bytes of the body that have arrived and were not taken.
    virtual std::size_t body_size() const = 0;
    virtual bool is_body_complete() const = 0;

    virtual void set_handlers(served_handlers handlers) = 0;

    /// Answers in one piece. The framing of the head is set to the body's length.
    virtual void respond(response_head head, std::string_view body) = 0;

    /// Begins an answer that comes in pieces. A body that ends with its connection is sent in
    /// chunks.
    virtual void begin(response_head head) = 0;
    virtual void write(std::string_view bytes) = 0;
    virtual void finish() = 0;
    /// Closes the connection so that the answer can't look complete.
    virtual void abort() = 0;

    /// Bytes of answers that have not been taken by the client.
    virtual std::size_t unsent() const = 0;
};

/// Listens on an address and hands on requests.
class server {
public:
    using request_handler = std::function<void(std::shared_ptr<served_request>)>;

    /// Fails with server_failure::cannot_listen.
    static absl::StatusOr<std::unique_ptr<server>> listen(uv_loop_s* loop, const endpoint& where,
                                                          server_limits limits,
                                                          request_handler on_request);
    /// Closes the listener and all connections.
    ~server();
    server(const server&) = delete;
    server& operator=(const server&) = delete;

    /// Applies to connections that are opened from now on and to timeouts of all.
    void set_limits(server_limits limits);

    /// From now on each answer says that its connection closes.
    void close_connections_after_answers();

    /// Requests that are not answered yet.
    std::size_t pending() const;

    /// Ends connections that are idle or slow for too long. Called a few times a second.
    void sweep();

private:
    class impl;
    explicit server(std::unique_ptr<impl> made);
    std::unique_ptr<impl> impl_;
};

} // namespace trefoil::http1
