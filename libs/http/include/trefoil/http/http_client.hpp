// HTTP/1.1 client on a libuv loop for whole requests and responses.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <variant>

#include <trefoil/base/endpoint.hpp>
#include <trefoil/base/time.hpp>
#include <trefoil/wire/http_message.hpp>

struct uv_loop_s;

namespace trefoil {

/// The reason why a request has no complete response.
enum class exchange_failure : std::uint8_t {
    /// No connection was established in time, so no bytes were sent.
    not_sent,
    /// The connection was lost after the request was written to it, or the response is truncated or
    /// not valid.
    connection_lost,
    /// No complete response arrived within the timeout.
    timed_out,
    /// The response body is larger than exchange_limits::max_answer_bytes.
    answer_too_large,
    /// The response has neither a Content-Length nor a Transfer-Encoding field, so its end cannot
    /// be verified.
    bad_answer,
};

using exchange_result = std::variant<http_answer, exchange_failure>;

/// Limits of one outgoing request.
struct exchange_limits {
    /// Maximum time to establish the connection.
    std::chrono::milliseconds connect_timeout{250};
    /// Maximum time from the start of the request to the end of the response.
    std::chrono::milliseconds timeout{30'000};
    /// Maximum size of the response body.
    std::uint64_t max_answer_bytes = 16'000'000;
};

/// Sends requests over a pool of persistent connections per address. A connection is reused only
/// after a complete response. It is closed if its request was cancelled, timed out or failed. The
/// client never retries a request. Not thread-safe: all calls must be made on the loop's thread.
class http_client {
public:
    using request_id = std::uint64_t;
    using done_handler = std::function<void(exchange_result)>;

    explicit http_client(uv_loop_s* loop);
    ~http_client();
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;

    /// Sends a request. `done` is called exactly once, asynchronously, unless the request is
    /// cancelled. The Host field is set to the request's service. All other header fields except
    /// hop-by-hop ones are sent unchanged.
    request_id send(const endpoint& to, const http_request& request, const exchange_limits& limits,
                    done_handler done);

    /// Cancels a request and closes its connection. `done` is not called.
    void cancel(request_id request);

    /// Number of requests without a result.
    std::size_t pending() const;

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace trefoil
