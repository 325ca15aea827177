// Connection of one client to a server.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <string>
#include <string_view>

#include <uv.h>

#include <trefoil/http1/message_parser.hpp>
#include <trefoil/http1/tcp_stream.hpp>

#include "server_request.hpp"
#include "server_state.hpp"

namespace trefoil::http1 {

/// Parses what a client sends, passes each request on, and sends the responses in the order of the
/// requests. After the last response the connection is ended in stages, so that it exists until the
/// client has taken everything. Reading is paused while the client has sent more than the limits of
/// the server allow.
class server_connection : public std::enable_shared_from_this<server_connection> {
public:
    explicit server_connection(server_state& owner);

    /// Accepts the client that waits at a listening socket. Returns false on failure.
    bool open(uv_stream_t* listening);

    /// Closes the connection and notifies the owners of its requests.
    void close();

    /// Closes the connection if its idle or head timeout has elapsed at a loop time, in
    /// milliseconds.
    void check_timeouts(std::uint64_t now);

    /// Sends bytes of the response to the oldest request.
    void send(std::string bytes);

    /// Sends the available output of the oldest requests, up to the first incomplete response.
    void send_ready_output();

    /// Ends the connection because the response to the request is aborted, but not before the
    /// responses to all earlier requests are sent.
    void end_with(const server_request& aborted);

    /// Pauses or resumes reading, by what waits to be taken or answered.
    void adjust_reading();

    /// Tells the owner of the server that the connection is lost, or is about to be, with bytes
    /// that the client's machine has not acknowledged.
    void report_cut(close_reason reason) const;
    bool has_unread_answers() const {
        return stream_ != nullptr && stream_->has_unacknowledged_bytes();
    }

    /// True if the connection is ended after the next response.
    bool will_close() const { return owner_.closes_after_answers; }
    /// Number of response bytes that wait to be written to the socket.
    std::size_t unsent_bytes() const { return stream_ == nullptr ? 0 : stream_->unsent_bytes(); }
    /// Number of bytes that the client's machine has acknowledged so far.
    std::uint64_t acknowledged_bytes() const {
        return stream_ == nullptr ? 0 : stream_->acknowledged_bytes();
    }

private:
    bool is_memory_short() const { return owner_.memory != nullptr && owner_.memory->is_short(); }
    bool has_full_body_buffer() const;
    /// True while the body of a request that was passed on is incomplete.
    bool is_reading_body() const;

    void on_data(std::string_view bytes);
    void on_head(request_head head);
    void on_body_data(const std::string& bytes);
    void on_message_end(bool keeps_connection);
    void on_drained();
    void on_stream_closed(close_reason reason);

    /// Queues a request behind all earlier ones.
    std::shared_ptr<server_request> queue_request(request_head head);
    /// Removes the oldest request, whose response is complete.
    void remove_first();

    void refuse_malformed(parse_failure failure);
    /// Queues an error response behind the responses to all earlier requests and ignores all
    /// further input. If the error is in the body of a request that was already passed on, this
    /// request gets no response, and the connection is closed in its place.
    void refuse(int status, std::string reason);
    void close_idle();
    /// Ends the connection in stages. Notifies the owners of its requests.
    void end(unsent_output unsent);
    /// Notifies the owners of the requests that have no complete response.
    void drop_requests();
    /// True if the client has not read all responses yet, and has read more of them since this was
    /// last asked.
    bool has_read_on(std::uint64_t now);
    /// Notifies the owner of the oldest request if no response bytes are waiting. on_drained()
    /// alone is not enough, because the socket may take at once what was queued behind an earlier
    /// response.
    void notify_if_drained();

    server_state& owner_;
    request_parser parser_;
    std::unique_ptr<tcp_stream> stream_;
    std::deque<std::shared_ptr<server_request>> requests_;
    /// The request received last; its body may still be incomplete.
    std::weak_ptr<server_request> last_request_;
    /// The last answered request. It must outlive the call that completed its response.
    std::shared_ptr<server_request> finished_;
    /// A request that was answered before its body was complete. The rest of the body is discarded.
    std::shared_ptr<server_request> discarded_body_request_;
    /// Size of the current request body so far.
    std::uint64_t body_bytes_received_ = 0;
    /// Loop time in milliseconds of the last activity and of the start of the current head.
    std::uint64_t last_activity_;
    std::uint64_t head_started_ = 0;
    /// Bytes that the client's machine had acknowledged when the connection was last found idle.
    std::uint64_t acknowledged_when_idle_ = 0;
    bool is_closed_ = false;
    bool is_ending_ = false;
    /// Set after an error response was queued or a response was aborted. Further input is ignored.
    bool is_refusing_ = false;
    /// True if the stream's write buffer may hold bytes of responses to earlier requests than the
    /// oldest one.
    bool has_earlier_output_ = false;
};

} // namespace trefoil::http1
