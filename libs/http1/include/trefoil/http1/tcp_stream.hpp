// TCP connection on a libuv loop.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include <trefoil/base/endpoint.hpp>

struct uv_loop_s;
struct uv_stream_s;

namespace trefoil::http1 {

/// The way in which a connection ended.
enum class close_reason : std::uint8_t {
    /// The connection could not be established.
    not_connected,
    /// The peer closed the connection in an orderly way; all its bytes were received.
    closed,
    /// The connection was reset; received data may be incomplete.
    reset,
    /// The system gave the connection up: data or probes were not acknowledged in time.
    timed_out,
    /// The peer no longer answered the probes of its closed receive window.
    silent,
    /// The peer has not taken everything in the time that end() allows.
    not_taken,
};

/// True if received and sent data may be incomplete.
bool is_lost(close_reason reason);
std::string_view name_of(close_reason reason);

/// What happens to the write buffer of a connection that is ended.
enum class unsent_output : std::uint8_t { sent, dropped };

/// Callbacks of a connection. Each may be empty and may destroy the stream.
struct stream_handlers {
    std::function<void()> on_connected;
    std::function<void(std::string_view)> on_data;
    std::function<void(close_reason)> on_closed;
    /// The write buffer has become empty.
    std::function<void()> on_drained;
};

/// A TCP connection with a write buffer. The TCP user timeout and keep-alive probes end the
/// connection within a few seconds if the peer stops acknowledging or becomes unreachable. A peer
/// that acknowledges may read as slowly as it likes.
/// Destroying the stream closes the connection.
class tcp_stream {
public:
    /// Starts to connect to an IPv4 address. Calls on_connected or on_closed later, never from
    /// within connect().
    static std::unique_ptr<tcp_stream> connect(uv_loop_s* loop, const endpoint& to,
                                               stream_handlers handlers);
    /// Accepts a pending connection of the listener. Returns null if there is none.
    static std::unique_ptr<tcp_stream> accept(uv_loop_s* loop, uv_stream_s* listener,
                                              stream_handlers handlers);
    ~tcp_stream();
    tcp_stream(const tcp_stream&) = delete;
    tcp_stream& operator=(const tcp_stream&) = delete;

    /// Writes the bytes, or buffers what the socket does not accept. Bytes written before the
    /// connection is established are sent afterwards.
    void write(std::string bytes);

    /// Number of buffered bytes that are not yet written to the socket.
    std::size_t unsent_bytes() const;
    /// Number of bytes that the peer's machine has acknowledged so far.
    std::uint64_t acknowledged_bytes() const;
    /// True if the peer's machine has not acknowledged all bytes.
    bool has_unacknowledged_bytes() const;
    /// Number of bytes that the peer's machine has not acknowledged, with those that are not yet
    /// written to the socket. Also known after the connection was lost.
    std::uint64_t unacknowledged_bytes() const;
    /// Time since the peer's machine last acknowledged anything.
    std::chrono::milliseconds since_acknowledgement() const;
    bool is_connected() const;
    /// True if the peer has closed or reset the connection. Also known while reading is paused, but
    /// only once the peer's last bytes have been received.
    bool has_peer_ended() const;

    /// Ends the connection when data has been unacknowledged for this long, even if the peer is
    /// alive and only keeps its receive window closed. Without a value, which is the default, only
    /// a peer that is silent for 2.5 seconds ends it.
    void set_user_timeout(std::optional<std::chrono::milliseconds> timeout);

    /// Sets the number of bytes that are read at once.
    void set_max_read_bytes(std::size_t bytes);

    void pause_reading();
    void resume_reading();

    /// Ends an established connection in stages (RFC 9112, section 9.6): sends or drops the write
    /// buffer, shuts down the sending side and discards what the peer still sends, so that nothing
    /// that the peer sends can cut what it has not read yet. Calls on_closed, and no other callback
    /// any more, when the peer has ended as well, when the connection is lost, or when the limits
    /// of lingering_close are reached. The owner then destroys the stream.
    void end(unsent_output unsent);

    /// Ends the connection as end() does, without its owner: no callback is called any more, and
    /// the stream must not be used except to destroy it. A connection that is not established is
    /// closed at once.
    void close_when_drained();

    /// Closes the connection with a TCP reset. No callback is called any more, and the stream must
    /// not be used except to destroy it.
    void reset();

private:
    class impl;
    explicit tcp_stream(impl* made) : impl_(made) {}
    impl* impl_;
};

} // namespace trefoil::http1
