// Listening socket of a server.
#pragma once

#include <functional>

#include <absl/status/status.h>
#include <uv.h>

#include <trefoil/base/endpoint.hpp>

namespace trefoil::http1 {

/// A TCP socket that listens on an IPv4 address and reports each client that waits to be accepted.
/// The destructor closes the socket.
class server_listener {
public:
    using client_handler = std::function<void(uv_stream_t* listening)>;

    /// The handler is called once for each waiting client, with the socket to accept it from.
    explicit server_listener(client_handler on_client) : on_client_(std::move(on_client)) {}
    ~server_listener();
    server_listener(const server_listener&) = delete;
    server_listener& operator=(const server_listener&) = delete;

    /// Binds the socket and starts to listen. Called once. Fails with
    /// server_failure::cannot_listen.
    absl::Status open(uv_loop_t* loop, const endpoint& listen_address);

private:
    static void report_client(uv_stream_t* handle, int status);

    client_handler on_client_;
    /// Null until open() is called; freed by the loop after it is closed.
    uv_tcp_t* socket_ = nullptr;
};

} // namespace trefoil::http1
