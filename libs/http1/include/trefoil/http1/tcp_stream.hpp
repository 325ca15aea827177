// One TCP connection on a libuv loop.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include <trefoil/base/endpoint.hpp>

struct uv_loop_s;
struct uv_stream_s;

namespace trefoil::http1 {

/// How a connection ended.
enum class stream_end : std::uint8_t {
    /// The connection was not made.
    not_connected,
    /// The peer closed it after all its bytes.
    closed,
    /// It was reset or timed out; bytes may be missing.
    lost,
};

/// What a connection reports. A handler may destroy the stream.
struct stream_handlers {
    std::function<void()> on_connected;
    std::function<void(std::string_view)> on_data;
    std::function<void(stream_end)> on_end;
    /// All written bytes have left.
    std::function<void()> on_drained;
};

/// A connection with write buffering. Unacknowledged data and a silent peer end it within a few
/// seconds, by TCP's user timeout and keep-alive probes. Destroying it closes the connection.
class tcp_stream {
public:
    /// Starts a connection to the address; on_connected or on_end follows.
    static std::unique_ptr<tcp_stream> connect(uv_loop_s* loop, const endpoint& to,
                                               stream_handlers handlers);
    /// Takes a waiting connection of a listener; null if there is none.
    static std::unique_ptr<tcp_stream> accept(uv_loop_s* loop, uv_stream_s* listener,
                                              stream_handlers handlers);
    ~tcp_stream();
    tcp_stream(const tcp_stream&) = delete;
    tcp_stream& operator=(const tcp_stream&) = delete;

    /// Bytes written before the connection is made are sent once it is.
    void write(std::string bytes);

    /// Bytes that have not left yet.
    std::size_t unsent() const;
    bool is_connected() const;

    void pause_reading();
    void resume_reading();

    /// Closes the connection after the bytes written so far have left.
    void close_when_drained();

    /// Ends the connection with a reset.
    void reset();

private:
    class impl;
    explicit tcp_stream(impl* made) : impl_(made) {}
    impl* impl_;
};

} // namespace trefoil::http1
