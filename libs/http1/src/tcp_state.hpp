// The kernel's view of a TCP connection.
#pragma once

#include <chrono>
#include <cstdint>

#include <trefoil/base/time.hpp>

namespace trefoil::http1 {

/// What the kernel knows of the data that was sent over a connection.
struct tcp_state {
    /// Bytes that the peer's machine has acknowledged so far.
    std::uint64_t acknowledged_bytes = 0;
    /// Segments that are sent but not acknowledged.
    std::uint32_t unacknowledged_segments = 0;
    /// Bytes that the socket has accepted but not sent.
    std::uint32_t waiting_bytes = 0;
    /// Probes of a closed receive window that were sent since the last acknowledgement.
    std::uint32_t unanswered_probes = 0;
    /// Time since the last acknowledgement.
    std::chrono::milliseconds since_acknowledgement{0};
    /// Time in which the peer's receive window has kept data from being sent, since the connection
    /// was established.
    duration window_limited_time{0};

    bool has_unacknowledged_data() const {
        return unacknowledged_segments > 0 || waiting_bytes > 0;
    }
    bool is_window_closed() const { return unacknowledged_segments == 0 && waiting_bytes > 0; }
};

/// Returns the state of a socket's connection; all values are zero if it has none.
tcp_state read_tcp_state(int socket);

} // namespace trefoil::http1
