#include "tcp_state.hpp"

// The header of the C library lacks the newer fields of tcp_info, and can't be included beside
// this.
#include <linux/tcp.h>
#include <netinet/in.h>
#include <sys/socket.h>

namespace trefoil::http1 {

tcp_state read_tcp_state(int socket) {
    tcp_info found{};
    socklen_t length = sizeof(found);
    if (getsockopt(socket, IPPROTO_TCP, TCP_INFO, &found, &length) != 0) {
        return {};
    }
    return {found.tcpi_bytes_acked,
            found.tcpi_unacked,
            found.tcpi_notsent_bytes,
            found.tcpi_probes,
            std::chrono::milliseconds(found.tcpi_last_ack_recv),
            std::chrono::microseconds(found.tcpi_rwnd_limited)};
}

} // namespace trefoil::http1
