#include <trefoil/http1/tcp_stream.hpp>

#include <algorithm>
#include <array>

#include <uv.h>

#include <trefoil/http1/loop_timer.hpp>
#include <trefoil/http1/socket_address.hpp>

#include "lingering_close.hpp"
#include "peer_watch.hpp"
#include "stream_socket.hpp"
#include "tcp_state.hpp"

namespace trefoil::http1 {
namespace {

constexpr std::size_t read_buffer_bytes = 65536;
/// Time between two looks at a connection that is being ended.
constexpr duration ending_look_interval = 1s;

/// Returns the read buffer that all streams of the process's one loop share. They can share it,
/// because each read is handled before the next one starts.
std::array<char, read_buffer_bytes>& shared_read_buffer() {
    static std::array<char, read_buffer_bytes> buffer;
    return buffer;
}

/// Returns the reason for the end of a connection that a libuv error reports.
close_reason reason_for(ssize_t error) {
    return error == UV_ETIMEDOUT ? close_reason::timed_out : close_reason::reset;
}

} // namespace

/// The libuv handles of a stream. They outlive the tcp_stream, because libuv closes handles
/// asynchronously.
class tcp_stream::impl {
public:
    impl(uv_loop_t* loop, stream_handlers handlers)
        : handlers_(std::move(handlers)), timer_(loop, [this] { on_timer(); }),
          peer_(loop, [this] { report_end(close_reason::silent); }) {
        uv_tcp_init(loop, &handle_);
        handle_.data = this;
        connect_.data = this;
        write_.data = this;
    }

    uv_stream_t* stream() { return reinterpret_cast<uv_stream_t*>(&handle_); }
    /// Returns the socket, or -1 if the stream has none.
    int socket() const {
        uv_os_fd_t found = -1;
        uv_fileno(reinterpret_cast<const uv_handle_t*>(&handle_), &found);
        return found;
    }

    void connect(const endpoint& to) {
        sockaddr_storage address{};
        const bool is_invalid = to_sockaddr(to, address) == 0;
        const int connect_result =
            is_invalid
                ? UV_EINVAL
                : uv_tcp_connect(&connect_, &handle_, reinterpret_cast<const sockaddr*>(&address),
                                 [](uv_connect_t* request, int status) {
                                     static_cast<impl*>(request->data)->on_connect(status);
                                 });
        if (connect_result != 0) {
            // Reported from the event loop, after connect() has returned.
            timer_.start(0ms);
            return;
        }
        peer_.open(socket());
    }

    void on_accepted() {
        peer_.open(socket());
        on_established();
    }

    void on_established() {
        is_connected_ = true;
        uv_tcp_nodelay(&handle_, 1);
        start_reading();
    }

    void write(std::string bytes) {
        if (is_closing_ || bytes.empty()) {
            return;
        }
        if (!is_connected_ || !in_flight_.empty()) {
            waiting_ += bytes;
            return;
        }
        const auto buffer = uv_buf_init(bytes.data(), static_cast<unsigned>(bytes.size()));
        const int result = uv_try_write(stream(), &buffer, 1);
        const auto sent = result > 0 ? static_cast<std::size_t>(result) : 0;
        written_bytes_ += sent;
        if (sent < bytes.size()) {
            start_write(bytes.substr(sent));
        }
        peer_.on_write();
    }

    void set_user_timeout(std::optional<std::chrono::milliseconds> timeout) {
        peer_.set_user_timeout(timeout);
    }

    std::size_t unsent_bytes() const { return in_flight_.size() + waiting_.size(); }
    std::uint64_t acknowledged_bytes() const { return state().acknowledged_bytes; }
    bool has_unacknowledged_bytes() const {
        return unsent_bytes() > 0 || state().has_unacknowledged_data();
    }
    std::uint64_t unacknowledged_bytes() const {
        const auto acknowledged = acknowledged_bytes();
        const auto all = written_bytes_ + unsent_bytes();
        return all > acknowledged ? all - acknowledged : 0;
    }
    std::chrono::milliseconds since_acknowledgement() const {
        return state().since_acknowledgement;
    }
    bool is_connected() const { return is_connected_; }

    bool has_peer_ended() const { return socket() >= 0 && http1::has_peer_ended(socket()); }

    void set_max_read_bytes(std::size_t bytes) { max_read_bytes_ = bytes; }

    void pause() {
        is_paused_ = true;
        uv_read_stop(stream());
    }

    void resume() {
        if (is_paused_) {
            is_paused_ = false;
            start_reading();
        }
    }

    void end(unsent_output unsent) {
        handlers_ = {{}, {}, std::move(handlers_.on_closed), {}};
        ending_.emplace(now());
        if (unsent == unsent_output::dropped) {
            waiting_.clear();
            shut_down();
        } else if (unsent_bytes() == 0) {
            shut_down();
        }
        is_paused_ = false;
        start_reading();
        timer_.start_repeating(ending_look_interval);
    }

    /// Called when the owner releases the stream. Ends the connection without it.
    void end_without_owner() {
        handlers_ = {};
        is_released_ = true;
        if (is_connected_) {
            end(unsent_output::sent);
        } else {
            close();
        }
    }

    /// Called when the owner releases the stream.
    void release() {
        handlers_ = {};
        close();
    }

    /// Called when the owner releases the stream. Closes the handle with a TCP reset.
    void reset() {
        handlers_ = {};
        if (socket() >= 0) {
            set_reset_on_close(socket());
        }
        close();
    }

private:
    void on_connect(int status) {
        if (is_closing_) {
            return;
        }
        if (status != 0) {
            report_end(close_reason::not_connected);
            return;
        }
        on_established();
        auto waiting = std::exchange(waiting_, {});
        if (handlers_.on_connected) {
            // Calls a copy, because the handler may destroy the stream and with it the original.
            const auto handler = handlers_.on_connected;
            handler();
        }
        if (waiting.empty()) {
            return;
        }
        write(std::move(waiting));
        if (unsent_bytes() == 0) {
            report_drained();
        }
    }

    tcp_state state() const { return socket() < 0 ? tcp_state{} : read_tcp_state(socket()); }

    time_point now() const { return loop_time(handle_.loop); }

    void shut_down() {
        shut_down_sending(socket());
        ending_->on_shut_down(now());
    }

    void on_timer() {
        if (!ending_) {
            report_end(close_reason::not_connected);
            return;
        }
        ending_->check(now(), state());
        const bool is_taken = !has_unacknowledged_bytes();
        finish_if_over(is_taken ? close_reason::closed : close_reason::not_taken);
    }

    void finish_if_over(close_reason reason) {
        if (ending_->current() == lingering_close::stage::over) {
            report_end(reason);
        }
    }

    void on_read_while_ending(ssize_t count) {
        if (count > 0) {
            ending_->on_input(now(), static_cast<std::size_t>(count));
            finish_if_over(close_reason::not_taken);
        } else if (count == UV_EOF && !was_reset()) {
            ending_->on_peer_end();
            finish_if_over(close_reason::closed);
        } else if (count < 0) {
            report_end(reason_for(count));
        }
    }

    void start_reading() {
        if (is_closing_ || is_paused_ || !is_connected_) {
            return;
        }
        uv_read_start(
            stream(),
            [](uv_handle_t* handle, std::size_t, uv_buf_t* buffer) {
                const auto size = static_cast<impl*>(handle->data)->max_read_bytes_;
                *buffer = uv_buf_init(shared_read_buffer().data(), static_cast<unsigned>(size));
            },
            [](uv_stream_t* from, ssize_t count, const uv_buf_t* buffer) {
                static_cast<impl*>(from->data)->on_read(count, buffer->base);
            });
    }

    void on_read(ssize_t count, const char* bytes) {
        if (ending_) {
            on_read_while_ending(count);
        } else if (count > 0 && handlers_.on_data) {
            const auto handler = handlers_.on_data;
            handler({bytes, static_cast<std::size_t>(count)});
        } else if (count < 0) {
            report_end(count == UV_EOF && !was_reset() ? close_reason::closed : reason_for(count));
        }
    }

    /// True if the connection was reset. libuv also reports the end of file for a reset that
    /// closely follows the last bytes; the socket error is then still set.
    bool was_reset() const { return socket() < 0 || take_error(socket()) != 0; }

    /// Reports the end of the connection; closes the handle if there is no owner any more.
    void report_end(close_reason reason) {
        uv_read_stop(stream());
        timer_.stop();
        peer_.stop();
        if (is_released_) {
            close();
        } else if (handlers_.on_closed) {
            const auto handler = handlers_.on_closed;
            handler(reason);
        }
    }

    /// Writes bytes that the socket does not accept at once. There is one such write at a time;
    /// what is written meanwhile is collected for the next one, so that small pieces cost their
    /// bytes.
    void start_write(std::string bytes) {
        in_flight_ = std::move(bytes);
        const auto buffer =
            uv_buf_init(in_flight_.data(), static_cast<unsigned>(in_flight_.size()));
        uv_write(&write_, stream(), &buffer, 1, [](uv_write_t* request, int status) {
            static_cast<impl*>(request->data)->on_written(status);
        });
    }

    void on_written(int status) {
        if (is_closing_) {
            return;
        }
        const bool is_dropped = ending_ && ending_->current() != lingering_close::stage::writing;
        if (status != 0 && !is_dropped) {
            report_end(reason_for(status));
            return;
        }
        written_bytes_ += is_dropped ? 0 : in_flight_.size();
        in_flight_.clear();
        in_flight_.shrink_to_fit();
        if (!waiting_.empty()) {
            start_write(std::exchange(waiting_, {}));
        } else if (!ending_) {
            report_drained();
        } else if (!is_dropped) {
            shut_down();
            finish_if_over(close_reason::closed);
        }
    }

    void report_drained() {
        if (!is_closing_ && handlers_.on_drained) {
            const auto handler = handlers_.on_drained;
            handler();
        }
    }

    void close() {
        if (is_closing_) {
            return;
        }
        is_closing_ = true;
        timer_.stop();
        peer_.leave_rest_to_system(ending_.has_value());
        uv_close(reinterpret_cast<uv_handle_t*>(&handle_),
                 [](uv_handle_t* handle) { delete static_cast<impl*>(handle->data); });
    }

    uv_tcp_t handle_{};
    uv_connect_t connect_{};
    uv_write_t write_{};
    stream_handlers handlers_;
    /// Looks at a connection that is being ended, and defers the report of a failed connect.
    loop_timer timer_;
    peer_watch peer_;
    /// Bytes of the write in progress.
    std::string in_flight_;
    /// Bytes to be written after it, or once the connection is established.
    std::string waiting_;
    std::size_t max_read_bytes_ = read_buffer_bytes;
    /// Bytes that the socket has accepted so far.
    std::uint64_t written_bytes_ = 0;
    /// Set while the connection is being ended.
    std::optional<lingering_close> ending_;
    bool is_connected_ = false;
    bool is_paused_ = false;
    bool is_closing_ = false;
    /// True if the connection is ended without its owner.
    bool is_released_ = false;
};

std::unique_ptr<tcp_stream> tcp_stream::connect(uv_loop_s* loop, const endpoint& to,
                                                stream_handlers handlers) {
    auto* made = new impl(loop, std::move(handlers));
    made->connect(to);
    return std::unique_ptr<tcp_stream>(new tcp_stream(made));
}

std::unique_ptr<tcp_stream> tcp_stream::accept(uv_loop_s* loop, uv_stream_s* listener,
                                               stream_handlers handlers) {
    auto* made = new impl(loop, std::move(handlers));
    if (uv_accept(listener, made->stream()) != 0) {
        made->release();
        return nullptr;
    }
    made->on_accepted();
    return std::unique_ptr<tcp_stream>(new tcp_stream(made));
}

tcp_stream::~tcp_stream() {
    if (impl_ != nullptr) {
        impl_->release();
    }
}

void tcp_stream::write(std::string bytes) {
    impl_->write(std::move(bytes));
}

void tcp_stream::set_user_timeout(std::optional<std::chrono::milliseconds> timeout) {
    impl_->set_user_timeout(timeout);
}

std::size_t tcp_stream::unsent_bytes() const {
    return impl_->unsent_bytes();
}

std::uint64_t tcp_stream::acknowledged_bytes() const {
    return impl_->acknowledged_bytes();
}

bool tcp_stream::has_unacknowledged_bytes() const {
    return impl_->has_unacknowledged_bytes();
}

std::uint64_t tcp_stream::unacknowledged_bytes() const {
    return impl_->unacknowledged_bytes();
}

std::chrono::milliseconds tcp_stream::since_acknowledgement() const {
    return impl_->since_acknowledgement();
}

bool tcp_stream::is_connected() const {
    return impl_->is_connected();
}

bool tcp_stream::has_peer_ended() const {
    return impl_->has_peer_ended();
}

void tcp_stream::set_max_read_bytes(std::size_t bytes) {
    impl_->set_max_read_bytes(std::min(bytes, read_buffer_bytes));
}

void tcp_stream::pause_reading() {
    impl_->pause();
}

void tcp_stream::resume_reading() {
    impl_->resume();
}

void tcp_stream::reset() {
    impl_->reset();
    impl_ = nullptr;
}

void tcp_stream::end(unsent_output unsent) {
    impl_->end(unsent);
}

void tcp_stream::close_when_drained() {
    impl_->end_without_owner();
    impl_ = nullptr;
}

} // namespace trefoil::http1
