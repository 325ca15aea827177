#include "stream_socket.hpp"

#include <cerrno>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>

namespace trefoil::http1 {
namespace {

/// Idle time before the first keep-alive probe and time between probes, in seconds.
constexpr int keep_alive_idle_s = 2;
constexpr int keep_alive_interval_s = 1;
/// Number of unanswered probes that ends the connection.
constexpr int keep_alive_probes = 2;
/// The socket option TCP_RTO_MAX_MS, which the headers of the system lack.
constexpr int tcp_rto_max_ms = 44;

void set_option(int socket, int level, int option, int value) {
    setsockopt(socket, level, option, &value, sizeof(value));
}

} // namespace

void enable_dead_peer_detection(int socket) {
    set_option(socket, SOL_SOCKET, SO_KEEPALIVE, 1);
    set_option(socket, IPPROTO_TCP, TCP_KEEPIDLE, keep_alive_idle_s);
    set_option(socket, IPPROTO_TCP, TCP_KEEPINTVL, keep_alive_interval_s);
    set_option(socket, IPPROTO_TCP, TCP_KEEPCNT, keep_alive_probes);
}

void set_user_timeout(int socket, std::chrono::milliseconds timeout) {
    set_option(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, static_cast<int>(timeout.count()));
}

void set_max_probe_interval(int socket, std::chrono::milliseconds interval) {
    set_option(socket, IPPROTO_TCP, tcp_rto_max_ms, static_cast<int>(interval.count()));
}

void shut_down_sending(int socket) {
    shutdown(socket, SHUT_WR);
}

void set_reset_on_close(int socket) {
    const linger reset_on_close{1, 0};
    setsockopt(socket, SOL_SOCKET, SO_LINGER, &reset_on_close, sizeof(reset_on_close));
}

bool has_peer_ended(int socket) {
    pollfd asked{socket, POLLRDHUP, 0};
    return poll(&asked, 1, 0) > 0;
}

int take_error(int socket) {
    int error = 0;
    socklen_t length = sizeof(error);
    return getsockopt(socket, SOL_SOCKET, SO_ERROR, &error, &length) == 0 ? error : errno;
}

} // namespace trefoil::http1
