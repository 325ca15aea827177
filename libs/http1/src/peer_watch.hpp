// Watches whether the peer of a connection takes what is sent to it.
#pragma once

#include <chrono>
#include <functional>
#include <optional>

#include <trefoil/base/time.hpp>
#include <trefoil/http1/loop_timer.hpp>

#include "window_watch.hpp"

namespace trefoil::http1 {

/// Sets the TCP user timeout of a socket, and looks at the receive window of its peer while data is
/// unacknowledged.
class peer_watch {
public:
    /// `on_silent` is called from the event loop when the peer no longer acknowledges anything.
    peer_watch(uv_loop_s* loop, std::function<void()> on_silent);

    /// Begins to detect a dead peer of the socket. Nothing has been sent over it.
    void open(int socket);
    /// Data was handed to the socket.
    void on_write();
    /// Sets how long data may be unacknowledged, see tcp_stream::set_user_timeout().
    void set_user_timeout(std::optional<std::chrono::milliseconds> timeout);
    /// Stops looking. The socket may be closed afterwards.
    void stop();
    /// Stops looking, and sets the time that the system has to deliver the rest after the socket is
    /// closed. Where the connection was ended in an orderly way, this includes a peer that reads
    /// slowly.
    void leave_rest_to_system(bool is_ended);

private:
    time_point now() const { return loop_time(loop_); }
    void check();
    void apply(std::chrono::milliseconds timeout);

    uv_loop_s* loop_;
    std::function<void()> on_silent_;
    loop_timer timer_;
    window_watch window_;
    int socket_ = -1;
    std::chrono::milliseconds user_timeout_{0};
    /// False if data may not wait for a closed window longer than for a dead peer.
    bool allows_closed_window_ = true;
    bool is_looking_ = false;
};

} // namespace trefoil::http1
