// An HTTP/1.1 and HTTP/2 listener on a libuv loop, by h2o.
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

/// Failures of the HTTP library.
enum class http_failure { cannot_listen };

absl::StatusCode status_code(http_failure failure);
std::string_view name_of(http_failure failure);

/// One request that waits for its answer.
using exchange_id = std::uint64_t;

/// Limits of a listener.
struct http_limits {
    /// Larger request bodies are answered 413 and not handed on.
    std::uint64_t max_body_bytes = 16'000'000;
    /// Time in which a request must have been read in full, and in which an idle connection is
    /// kept.
    std::chrono::milliseconds request_timeout{10'000};
};

/// Reads complete requests and hands them on. Malformed requests are answered 400 by h2o and never
/// handed on. Used from the loop's thread only.
class http_server {
public:
    /// A request was read in full.
    using request_handler = std::function<void(exchange_id, http_request)>;
    /// The client went away before the answer was given; respond() must not be called any more.
    using closed_handler = std::function<void(exchange_id)>;

    /// Fails with http_failure::cannot_listen.
    static absl::StatusOr<std::unique_ptr<http_server>>
    listen(uv_loop_s* loop, const endpoint& where, const http_limits& limits,
           request_handler on_request, closed_handler on_closed);
    /// Closes the listener and all connections.
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    /// Answers a request.
    void respond(exchange_id exchange, const http_answer& answer);

    /// Takes no more connections; open ones end after their answers.
    void stop_accepting();

    /// Requests that wait for their answers.
    std::size_t pending() const;

private:
    class impl;
    explicit http_server(std::unique_ptr<impl> made);
    std::unique_ptr<impl> impl_;
};

} // namespace trefoil
