// Outgoing HTTP/1.1 requests on a libuv loop, by h2o's client.
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

/// Why a request has no complete answer.
enum class exchange_failure : std::uint8_t {
    /// No connection was made in time; not a byte was sent.
    not_sent,
    /// The connection was lost after the request was written to it.
    connection_lost,
    /// No complete answer in time.
    timed_out,
    /// The answer's body is larger than allowed.
    answer_too_large,
    /// The answer has no mark of its end or is no HTTP.
    bad_answer,
};

using exchange_result = std::variant<http_answer, exchange_failure>;

/// Limits of one outgoing request.
struct exchange_limits {
    std::chrono::milliseconds connect_timeout{250};
    std::chrono::milliseconds timeout{30'000};
    std::uint64_t max_answer_bytes = 16'000'000;
};

/// Sends requests over connections that it keeps for each address. A connection is used again only
/// after a complete answer; one whose request was cancelled, timed out or failed is closed. A
/// request is never sent a second time. Used from the loop's thread only.
class http_client {
public:
    using request_id = std::uint64_t;
    using done_handler = std::function<void(exchange_result)>;

    explicit http_client(uv_loop_s* loop);
    ~http_client();
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;

    /// Sends a request; `done` is called once, later, unless it is cancelled. The Host header is
    /// the request's service; the headers are sent as they are, without hop-by-hop ones.
    request_id send(const endpoint& to, const http_request& request, const exchange_limits& limits,
                    done_handler done);

    /// Closes the request's connection; `done` is not called.
    void cancel(request_id request);

    std::size_t pending() const;

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace trefoil
