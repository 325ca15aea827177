// HTTP/1.1 and HTTP/2 server on a libuv loop, based on h2o.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <trefoil/base/endpoint.hpp>
#include <trefoil/base/time.hpp>
#include <trefoil/wire/http_message.hpp>

struct uv_loop_s;

namespace trefoil {

/// Errors of the HTTP server.
enum class http_failure { cannot_listen };

absl::StatusCode status_code(http_failure failure);
std::string_view name_of(http_failure failure);

/// Identifies a request on a server until it is answered.
using exchange_id = std::uint64_t;

/// Limits of a server.
struct http_limits {
    /// A request with a larger body is answered with status 413 and not passed on.
    std::uint64_t max_body_bytes = 16'000'000;
    /// Maximum time to receive a complete request, and maximum time that a connection may be idle.
    std::chrono::milliseconds request_timeout{10'000};
};

/// Receives complete requests and passes them to a handler. h2o answers malformed requests with
/// status 400; they are not passed on. Not thread-safe: all calls must be made on the loop's
/// thread.
class http_server {
public:
    /// Called with each complete request.
    using request_handler = std::function<void(exchange_id, http_request)>;
    /// Called when the client disconnects before the response; respond() must not be called for the
    /// request any more.
    using closed_handler = std::function<void(exchange_id)>;

    /// Starts listening on an IPv4 or IPv6 address. Fails with http_failure::cannot_listen.
    static absl::StatusOr<std::unique_ptr<http_server>>
    listen(uv_loop_s* loop, const endpoint& listen_address, const http_limits& limits,
           request_handler on_request, closed_handler on_closed);
    /// Closes the listener as stop_accepting() does. Memory that open connections refer to is not
    /// released.
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    /// Sends the response to a request. Hop-by-hop header fields are left out.
    void respond(exchange_id exchange, const http_answer& answer);

    /// Closes the listener. Open connections are closed after their pending responses.
    void stop_accepting();

    /// Number of requests without a response.
    std::size_t pending() const;

private:
    class impl;
    explicit http_server(std::unique_ptr<impl> made);
    std::unique_ptr<impl> impl_;
};

} // namespace trefoil
