#include "server_listener.hpp"

#include <fmt/format.h>

#include <trefoil/base/error.hpp>
#include <trefoil/http1/server.hpp>

namespace trefoil::http1 {
namespace {

constexpr int accept_backlog = 1024;

} // namespace

server_listener::~server_listener() {
    if (socket_ != nullptr) {
        uv_close(reinterpret_cast<uv_handle_t*>(socket_),
                 [](uv_handle_t* handle) { delete reinterpret_cast<uv_tcp_t*>(handle); });
    }
}

absl::Status server_listener::open(uv_loop_t* loop, const endpoint& listen_address) {
    sockaddr_in address{};
    if (uv_ip4_addr(listen_address.ip.c_str(), listen_address.port, &address) != 0) {
        return make_error(server_failure::cannot_listen,
                          "not an IPv4 address: " + listen_address.ip);
    }
    socket_ = new uv_tcp_t;
    uv_tcp_init(loop, socket_);
    socket_->data = this;
    int result = uv_tcp_bind(socket_, reinterpret_cast<const sockaddr*>(&address), 0);
    if (result == 0) {
        result = uv_listen(reinterpret_cast<uv_stream_t*>(socket_), accept_backlog, report_client);
    }
    if (result != 0) {
        return make_error(server_failure::cannot_listen,
                          fmt::format("{}: {}", to_string(listen_address), uv_strerror(result)));
    }
    return absl::OkStatus();
}

void server_listener::report_client(uv_stream_t* handle, int status) {
    if (status == 0) {
        static_cast<server_listener*>(handle->data)->on_client_(handle);
    }
}

} // namespace trefoil::http1
