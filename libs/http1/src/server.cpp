#include <trefoil/http1/server.hpp>

#include <algorithm>
#include <deque>
#include <unordered_map>

#include <fmt/format.h>
#include <uv.h>

#include <trefoil/base/error.hpp>
#include <trefoil/base/overloaded.hpp>
#include <trefoil/http1/header_rules.hpp>
#include <trefoil/http1/message_parser.hpp>
#include <trefoil/http1/tcp_stream.hpp>

namespace trefoil::http1 {
namespace {

constexpr int accept_backlog = 1024;
/// Maximum number of requests of one connection that are passed on before the first is answered.
constexpr std::size_t max_pipelined_requests = 32;
/// A small read, so that a connection that is no longer to be read from has taken little.
constexpr std::size_t max_read_bytes = 16U << 10U;

response_head make_error_head(int status, std::string reason) {
    response_head head;
    head.status = status;
    head.reason = std::move(reason);
    return head;
}

} // namespace

absl::StatusCode status_code(server_failure) {
    return absl::StatusCode::kUnavailable;
}

std::string_view name_of(server_failure) {
    return "cannot_listen";
}

class server::impl {
public:
    class connection;
    class request;

    impl(uv_loop_t* loop, server_limits limits, request_handler on_request)
        : loop_(loop), limits_(limits), on_request_(std::move(on_request)) {}

    absl::Status open(const endpoint& listen_address);
    void accept();
    void remove(connection* closed);

    uv_loop_t* loop_;
    server_limits limits_;
    request_handler on_request_;
    uv_tcp_t* listener_ = nullptr;
    const body_memory* memory_ = nullptr;
    bool closes_after_answers_ = false;
    std::size_t pending_ = 0;
    std::unordered_map<connection*, std::shared_ptr<connection>> connections_;
};

/// A request and the part of its response that is queued behind earlier responses.
class server::impl::request : public served_request {
public:
    request(std::weak_ptr<connection> owner, request_head head)
        : owner_(std::move(owner)), head_(std::move(head)) {}

    const request_head& head() const override { return head_; }
    std::string take_body() override;
    std::size_t body_size() const override { return body_.size(); }
    bool is_body_complete() const override { return is_body_complete_; }
    void set_handlers(served_handlers handlers) override { handlers_ = std::move(handlers); }
    void respond(response_head head, std::string_view body) override;
    void begin(response_head head) override;
    void write(std::string_view bytes) override;
    void finish() override;
    void abort() override;
    std::size_t unsent_bytes() const override;
    bool is_next() const override { return is_first_; }
    std::uint64_t acknowledged_bytes() const override;

    /// Adds to the body. The rest of the body of an answered request is discarded.
    void add_body(const std::string& bytes) {
        if (!is_answered_) {
            body_ += bytes;
            call(handlers_.on_body);
        }
    }
    void complete_body() {
        is_body_complete_ = true;
        call(handlers_.on_body);
    }
    void notify_closed() {
        owner_.reset();
        call(handlers_.on_client_closed);
        handlers_ = {};
    }
    /// Tells the owner that the connection is closed, and marks the response as aborted.
    void give_up() {
        is_aborted_ = true;
        notify_closed();
    }
    void notify_writable() { call(handlers_.on_writable); }

    bool is_answered() const { return is_answered_; }
    bool is_aborted() const { return is_aborted_; }
    bool closes() const { return closes_connection_; }
    void set_closes_connection() { closes_connection_ = true; }
    std::string take_output() { return std::exchange(output_, {}); }
    /// True if this is the oldest request of the connection, whose output is sent directly.
    bool is_first_ = false;

private:
    static void call(const std::function<void()>& handler) {
        if (handler) {
            const auto copy = handler;
            copy();
        }
    }
    bool may_have_body(const response_head& answer) const {
        return head_.method != "HEAD" && !has_no_body(answer.status);
    }
    /// Sends output of the oldest request; queues output of later ones.
    void emit(const std::string& bytes);

    std::weak_ptr<connection> owner_;
    request_head head_;
    std::string body_;
    std::string output_;
    served_handlers handlers_;
    body_framing answer_framing_ = body_framing::none;
    /// False if the response that begin() started has no body.
    bool sends_body_ = true;
    bool is_body_complete_ = false;
    bool is_answered_ = false;
    bool is_aborted_ = false;
    bool closes_connection_ = false;
};

class server::impl::connection : public std::enable_shared_from_this<connection> {
public:
    explicit connection(impl& owner)
        : owner_(owner), parser_(owner.limits_.max_head_bytes),
          last_activity_(uv_now(owner.loop_)) {}

    bool open() {
        stream_ = tcp_stream::accept(owner_.loop_, reinterpret_cast<uv_stream_t*>(owner_.listener_),
                                     {{},
                                      [this](std::string_view bytes) { on_data(bytes); },
                                      [this](close_reason) { close(); },
                                      [this] { on_drained(); }});
        if (stream_ == nullptr) {
            return false;
        }
        stream_->set_max_read_bytes(max_read_bytes);
        return true;
    }

    /// Closes the connection and notifies the owners of its requests.
    void close() {
        const auto self = shared_from_this();
        if (is_closed_) {
            return;
        }
        is_closed_ = true;
        stream_.reset();
        auto open_requests = std::exchange(requests_, {});
        owner_.pending_ -= open_requests.size();
        owner_.remove(this);
        for (const auto& open : open_requests) {
            open->notify_closed();
        }
    }

    void send(std::string bytes) {
        if (stream_ != nullptr) {
            stream_->write(std::move(bytes));
        }
    }

    /// Sends the available output of the oldest requests, up to the first incomplete response.
    void send_ready_output() {
        if (is_closed_) {
            return;
        }
        const auto self = shared_from_this();
        while (!requests_.empty()) {
            auto& first = *requests_.front();
            first.is_first_ = true;
            send(first.take_output());
            if (first.is_aborted()) {
                close_after_output();
                return;
            }
            if (!first.is_answered()) {
                break;
            }
            const bool closes = first.closes();
            const bool has_body_left = !first.is_body_complete();
            finished_ = std::move(requests_.front());
            requests_.pop_front();
            --owner_.pending_;
            has_earlier_output_ = unsent_bytes() > 0;
            if (has_body_left) {
                discarded_body_request_ = finished_;
            }
            if (closes) {
                close_after_output();
                return;
            }
        }
        last_activity_ = uv_now(owner_.loop_);
        adjust_reading();
        notify_if_drained();
    }

    /// Closes the connection because the response to the request is aborted, but not before the
    /// responses to all earlier requests are sent.
    void end_with(const request& aborted) {
        is_refusing_ = true;
        const auto found =
            std::find_if(requests_.begin(), requests_.end(),
                         [&](const auto& queued) { return queued.get() == &aborted; });
        const bool is_next = found == requests_.begin();
        if (found == requests_.end() || (is_next && !has_earlier_output_)) {
            close();
        } else {
            send_ready_output();
        }
    }

    bool will_close() const { return owner_.closes_after_answers_; }
    std::size_t unsent_bytes() const { return stream_ == nullptr ? 0 : stream_->unsent_bytes(); }
    std::uint64_t acknowledged_bytes() const {
        return stream_ == nullptr ? 0 : stream_->acknowledged_bytes();
    }

    void adjust_reading() {
        if (stream_ == nullptr) {
            return;
        }
        const bool waits_for_answer =
            is_memory_short() && !requests_.empty() && requests_.back()->is_body_complete();
        const bool is_pipeline_full = requests_.size() >= max_pipelined_requests;
        if (has_full_body_buffer() || is_pipeline_full || waits_for_answer) {
            stream_->pause_reading();
        } else {
            stream_->resume_reading();
        }
    }

    void check_timeouts(std::uint64_t now) {
        const auto age = now - last_activity_;
        const auto& limits = owner_.limits_;
        if (!requests_.empty()) {
            // While reading is paused, the end of the connection is not reported.
            if (has_full_body_buffer() && stream_->has_peer_ended()) {
                close();
            }
            return;
        }
        if (parser_.is_in_head()) {
            if (now - head_started_ > static_cast<std::uint64_t>(limits.head_timeout.count())) {
                refuse(408, "Request Timeout");
            }
        } else if (age > static_cast<std::uint64_t>(limits.idle_timeout.count()) &&
                   !has_read_on(now)) {
            close();
        }
    }

private:
    bool is_memory_short() const { return owner_.memory_ != nullptr && owner_.memory_->is_short(); }

    bool has_full_body_buffer() const {
        const auto max_bytes = is_memory_short() ? 0 : owner_.limits_.max_waiting_body_bytes;
        return !requests_.empty() && requests_.back()->body_size() > max_bytes;
    }

    void on_data(std::string_view bytes) {
        const auto self = shared_from_this();
        last_activity_ = uv_now(owner_.loop_);
        if (is_refusing_) {
            return;
        }
        const bool was_in_head = parser_.is_in_head();
        std::vector<request_event> events;
        parser_.feed(bytes, events);
        if (parser_.is_in_head() && !(was_in_head && events.empty())) {
            head_started_ = last_activity_;
        }
        for (auto& event : events) {
            if (is_closed_ || is_refusing_) {
                return;
            }
            std::visit(overloaded{[&](request_head& head) { on_head(std::move(head)); },
                                  [&](body_piece& piece) { on_body_data(piece.bytes); },
                                  [&](const message_end& end) { on_message_end(end.keep_alive); },
                                  [&](parse_failure failure) { refuse_malformed(failure); }},
                       event);
        }
        if (!is_closed_) {
            adjust_reading();
        }
    }

    void on_head(request_head head) {
        if (head.framing == body_framing::length &&
            head.content_length > owner_.limits_.max_body_bytes) {
            refuse(413, "Content Too Large");
            return;
        }
        if (find_header(head.headers, "expect") == "100-continue" && requests_.empty()) {
            send("HTTP/1.1 100 Continue\r\n\r\n");
        }
        discarded_body_request_.reset();
        auto made = std::make_shared<request>(weak_from_this(), std::move(head));
        requests_.push_back(made);
        last_request_ = made;
        ++owner_.pending_;
        made->is_first_ = requests_.size() == 1;
        owner_.on_request_(made);
    }

    void on_body_data(const std::string& bytes) {
        body_bytes_received_ += bytes.size();
        if (discarded_body_request_ != nullptr) {
            return;
        }
        if (body_bytes_received_ > owner_.limits_.max_body_bytes) {
            refuse(413, "Content Too Large");
            return;
        }
        if (const auto last_received = last_request_.lock()) {
            last_received->add_body(bytes);
        }
    }

    void on_message_end(bool keeps_connection) {
        body_bytes_received_ = 0;
        discarded_body_request_.reset();
        const auto last_received = last_request_.lock();
        if (last_received == nullptr) {
            return;
        }
        if (!keeps_connection) {
            last_received->set_closes_connection();
        }
        last_received->complete_body();
    }

    void refuse_malformed(parse_failure failure) {
        if (failure == parse_failure::head_too_large) {
            refuse(431, "Request Header Fields Too Large");
        } else {
            refuse(400, "Bad Request");
        }
    }

    /// Queues an error response behind the responses to all earlier requests and ignores all
    /// further input. If the error is in the body of a request that was already passed on, this
    /// request gets no response, and the connection is closed in its place.
    void refuse(int status, std::string reason) {
        if (is_reading_body()) {
            const auto unreadable = requests_.back();
            unreadable->give_up();
            end_with(*unreadable);
            return;
        }
        request_head none;
        auto made = std::make_shared<request>(weak_from_this(), std::move(none));
        requests_.push_back(made);
        ++owner_.pending_;
        made->is_first_ = requests_.size() == 1;
        made->set_closes_connection();
        is_refusing_ = true;
        made->respond(make_error_head(status, std::move(reason)), {});
    }

    /// True while the body of a request that was passed on is incomplete.
    bool is_reading_body() const {
        const auto last_received = last_request_.lock();
        return last_received != nullptr && !last_received->is_body_complete() &&
               !requests_.empty() && requests_.back() == last_received;
    }

    void close_after_output() {
        const auto self = shared_from_this();
        if (stream_ != nullptr) {
            auto* last = stream_.release();
            last->close_when_drained();
            delete last;
        }
        close();
    }

    /// True if the client has not read all responses yet, and has read more of them since this was
    /// last asked.
    bool has_read_on(std::uint64_t now) {
        if (stream_ == nullptr || !stream_->has_unacknowledged_bytes()) {
            return false;
        }
        const auto acknowledged = stream_->acknowledged_bytes();
        if (acknowledged == acknowledged_when_idle_) {
            return false;
        }
        acknowledged_when_idle_ = acknowledged;
        last_activity_ = now;
        return true;
    }

    void on_drained() {
        const auto self = shared_from_this();
        last_activity_ = uv_now(owner_.loop_);
        has_earlier_output_ = false;
        notify_if_drained();
    }

    /// Notifies the owner of the oldest request if no response bytes are waiting. on_drained()
    /// alone is not enough, because the socket may take at once what was queued behind an earlier
    /// response.
    void notify_if_drained() {
        if (!requests_.empty() && unsent_bytes() == 0) {
            const auto first = requests_.front();
            first->notify_writable();
        }
    }

    impl& owner_;
    request_parser parser_;
    std::unique_ptr<tcp_stream> stream_;
    std::deque<std::shared_ptr<request>> requests_;
    /// The request received last; its body may still be incomplete.
    std::weak_ptr<request> last_request_;
    /// The last answered request. It must outlive the call that completed its response.
    std::shared_ptr<request> finished_;
    /// A request that was answered before its body was complete. The rest of the body is discarded.
    std::shared_ptr<request> discarded_body_request_;
    /// Size of the current request body so far.
    std::uint64_t body_bytes_received_ = 0;
    /// Loop time in milliseconds of the last activity and of the start of the current head.
    std::uint64_t last_activity_;
    std::uint64_t head_started_ = 0;
    /// Bytes that the client's machine had acknowledged when the connection was last found idle.
    std::uint64_t acknowledged_when_idle_ = 0;
    bool is_closed_ = false;
    /// Set after an error response was queued or a response was aborted. Further input is ignored.
    bool is_refusing_ = false;
    /// True if the stream's write buffer may hold bytes of responses to earlier requests than the
    /// oldest one.
    bool has_earlier_output_ = false;
};

std::string server::impl::request::take_body() {
    auto taken = std::exchange(body_, {});
    if (const auto owner = owner_.lock()) {
        owner->adjust_reading();
    }
    return taken;
}

void server::impl::request::respond(response_head head, std::string_view body) {
    head.omits_body = head.omits_body && !may_have_body(head);
    if (!head.omits_body) {
        const bool has_framing = head.framing != body_framing::none || !body.empty();
        head.framing = has_framing ? body_framing::length : body_framing::none;
        head.content_length = body.size();
    }
    const auto owner = owner_.lock();
    if (owner == nullptr || is_answered_) {
        return;
    }
    closes_connection_ = closes_connection_ || owner->will_close();
    auto bytes = to_bytes(head, closes_connection_);
    if (may_have_body(head)) {
        bytes += body;
    }
    is_answered_ = true;
    body_.clear();
    body_.shrink_to_fit();
    output_ += bytes;
    owner->send_ready_output();
}

void server::impl::request::begin(response_head head) {
    const auto owner = owner_.lock();
    if (owner == nullptr) {
        return;
    }
    sends_body_ = may_have_body(head);
    if (!sends_body_) {
        head.omits_body = true;
        head.framing =
            head.framing == body_framing::length ? body_framing::length : body_framing::none;
    } else if (head.framing == body_framing::connection_close) {
        head.framing = body_framing::chunked;
    }
    answer_framing_ = head.framing;
    closes_connection_ = closes_connection_ || owner->will_close();
    emit(to_bytes(head, closes_connection_));
}

void server::impl::request::write(std::string_view bytes) {
    if (sends_body_ && !bytes.empty()) {
        emit(answer_framing_ == body_framing::chunked ? to_chunk(bytes) : std::string(bytes));
    }
}

void server::impl::request::finish() {
    if (answer_framing_ == body_framing::chunked) {
        output_ += last_chunk;
    }
    is_answered_ = true;
    body_.clear();
    body_.shrink_to_fit();
    if (const auto owner = owner_.lock()) {
        owner->send_ready_output();
    }
}

void server::impl::request::abort() {
    if (const auto owner = owner_.lock()) {
        handlers_ = {};
        is_aborted_ = true;
        owner->end_with(*this);
    }
}

std::size_t server::impl::request::unsent_bytes() const {
    const auto owner = owner_.lock();
    return output_.size() + (owner == nullptr || !is_first_ ? 0 : owner->unsent_bytes());
}

std::uint64_t server::impl::request::acknowledged_bytes() const {
    const auto owner = owner_.lock();
    return owner == nullptr ? 0 : owner->acknowledged_bytes();
}

void server::impl::request::emit(const std::string& bytes) {
    const auto owner = owner_.lock();
    if (owner == nullptr) {
        return;
    }
    if (is_first_) {
        owner->send(bytes);
    } else {
        output_ += bytes;
    }
}

absl::Status server::impl::open(const endpoint& listen_address) {
    sockaddr_in address{};
    if (uv_ip4_addr(listen_address.ip.c_str(), listen_address.port, &address) != 0) {
        return make_error(server_failure::cannot_listen,
                          "not an IPv4 address: " + listen_address.ip);
    }
    listener_ = new uv_tcp_t;
    uv_tcp_init(loop_, listener_);
    listener_->data = this;
    int result = uv_tcp_bind(listener_, reinterpret_cast<const sockaddr*>(&address), 0);
    if (result == 0) {
        result = uv_listen(reinterpret_cast<uv_stream_t*>(listener_), accept_backlog,
                           [](uv_stream_t* handle, int status) {
                               if (status == 0) {
                                   static_cast<impl*>(handle->data)->accept();
                               }
                           });
    }
    if (result != 0) {
        return make_error(server_failure::cannot_listen,
                          fmt::format("{}: {}", to_string(listen_address), uv_strerror(result)));
    }
    return absl::OkStatus();
}

void server::impl::accept() {
    auto made = std::make_shared<connection>(*this);
    if (made->open()) {
        connections_.emplace(made.get(), made);
    }
}

void server::impl::remove(connection* closed) {
    connections_.erase(closed);
}

server::server(std::unique_ptr<impl> made) : impl_(std::move(made)) {}

absl::StatusOr<std::unique_ptr<server>> server::listen(uv_loop_s* loop,
                                                       const endpoint& listen_address,
                                                       server_limits limits,
                                                       request_handler on_request) {
    std::unique_ptr<server> made(
        new server(std::make_unique<impl>(loop, limits, std::move(on_request))));
    const auto opened = made->impl_->open(listen_address);
    if (!opened.ok()) {
        return opened;
    }
    return made;
}

server::~server() {
    const auto open = impl_->connections_;
    for (const auto& [key, open_connection] : open) {
        open_connection->close();
    }
    if (impl_->listener_ != nullptr) {
        uv_close(reinterpret_cast<uv_handle_t*>(impl_->listener_),
                 [](uv_handle_t* handle) { delete reinterpret_cast<uv_tcp_t*>(handle); });
    }
}

void server::set_limits(server_limits limits) {
    impl_->limits_ = limits;
}

void server::set_body_memory(const body_memory& memory) {
    impl_->memory_ = &memory;
}

void server::close_connections_after_answers() {
    impl_->closes_after_answers_ = true;
}

std::size_t server::pending() const {
    return impl_->pending_;
}

void server::close_timed_out_connections() {
    const auto now = uv_now(impl_->loop_);
    const auto open = impl_->connections_;
    for (const auto& [key, open_connection] : open) {
        open_connection->check_timeouts(now);
    }
}

} // namespace trefoil::http1
