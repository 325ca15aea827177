// Stages in which a connection is ended.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

#include <trefoil/base/time.hpp>

#include "tcp_state.hpp"

namespace trefoil::http1 {

/// Limits on the stages in which a connection is ended.
struct lingering_limits {
    /// Time without an acknowledgement after which the write buffer is given up.
    duration max_write_pause = 5s;
    /// Time that the system has to deliver what it has accepted.
    duration max_delivery_time = 30s;
    /// Time without input after which a peer that has received everything is no longer waited for.
    duration max_input_pause = 5s;
    /// Bytes that are read and discarded.
    std::uint64_t max_discarded_bytes = 64U << 20U;

    friend bool operator==(const lingering_limits&, const lingering_limits&) = default;
};

/// Decides how long a connection that is to be ended is still kept (RFC 9112, section 9.6). A
/// socket that is closed with unread input, or gets input later, resets its connection, and the
/// peer loses what it has not read yet. So first the sending side is shut down, and what the peer
/// still sends is discarded. The socket is closed when the peer has ended as well, or has had
/// enough time to do so. A peer that no longer acknowledges anything is not told here.
class lingering_close {
public:
    enum class stage : std::uint8_t {
        /// Bytes of the write buffer wait to be accepted by the system.
        writing,
        /// The sending side is shut down; the peer has not acknowledged everything.
        delivering,
        /// The peer has acknowledged everything and has not ended.
        waiting_for_peer,
        /// The socket is to be closed.
        over,
    };

    explicit lingering_close(time_point now, lingering_limits limits = {})
        : limits_(limits), progress_at_(now) {}

    stage current() const { return stage_; }

    /// The write buffer is empty or dropped, and the sending side is shut down.
    void on_shut_down(time_point now);
    /// Bytes of the peer were read and discarded.
    void on_input(time_point now, std::size_t bytes);
    /// The peer sends no more bytes. Without further input nothing can reset the connection any
    /// more, so the system delivers the rest by itself.
    void on_peer_end();
    /// Looks at the time and at the state of the connection. To be called about once a second.
    void check(time_point now, const tcp_state& seen);

private:
    lingering_limits limits_;
    stage stage_ = stage::writing;
    bool has_peer_ended_ = false;
    std::uint64_t discarded_bytes_ = 0;
    std::uint64_t acknowledged_bytes_ = 0;
    /// Time of the last acknowledgement while writing, of the last input while waiting.
    time_point progress_at_;
    time_point shut_down_at_;
};

} // namespace trefoil::http1
