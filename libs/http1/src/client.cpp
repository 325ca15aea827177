#include <trefoil/http1/client.hpp>

#include <algorithm>
#include <charconv>
#include <deque>
#include <optional>

#include <uv.h>

#include <trefoil/base/overloaded.hpp>
#include <trefoil/http1/header_rules.hpp>
#include <trefoil/http1/loop_timer.hpp>
#include <trefoil/http1/message_parser.hpp>
#include <trefoil/http1/tcp_stream.hpp>

namespace trefoil::http1 {
namespace {

/// An idle connection is closed this long before the timeout that the peer announced, so that no
/// request is sent while the peer closes the connection.
constexpr std::chrono::milliseconds keep_alive_margin{700};

/// Maximum number of bytes that are read before the expected response begins: interim responses and
/// responses to earlier requests.
constexpr std::size_t max_bytes_before_response = 1U << 20U;

/// Two addresses at which connections fall silent within this time suggest that others have too.
constexpr std::uint64_t silence_correlation_ms = 1000;

/// Returns the idle timeout announced by a `Keep-Alive: timeout=SECONDS` field, if there is one.
std::optional<std::chrono::milliseconds> idle_timeout_of(const response_head& head) {
    const auto value = find_header(head.headers, "keep-alive");
    const auto at = value.find("timeout=");
    if (at == std::string_view::npos) {
        return std::nullopt;
    }
    const auto digits = value.substr(at + std::string_view("timeout=").size());
    unsigned seconds = 0;
    if (std::from_chars(digits.data(), digits.data() + digits.size(), seconds).ec != std::errc()) {
        return std::nullopt;
    }
    return std::chrono::seconds(seconds);
}

/// True if the Connection field contains `close` or `Close`.
bool has_connection_close(const std::vector<http_header>& headers) {
    return find_header(headers, "connection").find("lose") != std::string_view::npos;
}

} // namespace

class client::impl : public std::enable_shared_from_this<client::impl> {
public:
    class connection;
    class active_exchange;

    impl(uv_loop_t* loop, connection_pool_limits limits) : loop_(loop), limits_(limits) {}

    std::unique_ptr<exchange> start(const endpoint& to, const request_head& head,
                                    std::string_view body, bool is_complete,
                                    exchange_options options, handler on_event);
    /// Removes an idle connection to the address from the pool and returns it. Returns null if
    /// there is none that has been idle for at most `max_idle`.
    std::shared_ptr<connection> take_idle(const endpoint& to, std::chrono::milliseconds max_idle);
    /// Adds an idle connection to the pool. Closes the oldest one to the address if the pool holds
    /// connection_pool_limits::max_idle_connections of them.
    void add_idle(const std::shared_ptr<connection>& released);
    void remove_idle(const connection* closed_connection);
    void close_expired_connections();
    /// Closes idle connections after a request to the address, started at `since`, has had no
    /// acknowledgement.
    void handle_silence(const endpoint& where, std::uint64_t since);
    /// Closes the connections that have not been used since then.
    static void close_idle_since(std::deque<std::shared_ptr<connection>>& idle_connections,
                                 std::uint64_t since);

    uv_loop_t* loop_;
    connection_pool_limits limits_;
    client_counts counts_;
    /// Idle connections by address, with the most recently used one at the back.
    std::map<endpoint, std::deque<std::shared_ptr<connection>>> idle_;
    /// Where and when a connection was last found silent.
    std::optional<endpoint> silent_address_;
    std::uint64_t silent_at_ = 0;
};

/// One connection. It is in use while it has an active exchange, else idle.
class client::impl::connection : public std::enable_shared_from_this<connection> {
public:
    connection(std::weak_ptr<impl> pool, endpoint to)
        : pool_(std::move(pool)), to_(std::move(to)) {}

    void open(uv_loop_t* loop) {
        stream_ = tcp_stream::connect(loop, to_,
                                      {{},
                                       [this](std::string_view bytes) { on_data(bytes); },
                                       [this](close_reason end_reason) { on_closed(end_reason); },
                                       {}});
    }

    const endpoint& to() const { return to_; }
    std::uint64_t idle_since() const { return idle_since_; }
    std::uint64_t idle_until() const { return idle_until_; }

    active_exchange* exchange_ = nullptr;
    std::unique_ptr<tcp_stream> stream_;

    /// Prepares the connection for the response of a new exchange.
    void attach(active_exchange* assigned, bool has_no_body,
                std::function<bool(const response_head&)> expected) {
        exchange_ = assigned;
        is_expected_ = std::move(expected);
        is_answer_complete_ = false;
        is_reusable_ = true;
        discards_answer_ = false;
        has_answer_bytes_ = false;
        is_answer_begun_ = false;
        bytes_before_answer_ = 0;
        if (has_no_body) {
            parser_.expect_no_body();
        }
    }
    /// Notes the start of a request, whose data must be acknowledged within the timeout.
    void start_request(std::uint64_t now, std::chrono::milliseconds acknowledgement_timeout) {
        request_started_ = now;
        acknowledgement_timeout_ = acknowledgement_timeout;
        stream_->set_user_timeout(acknowledgement_timeout);
    }
    bool has_answer_bytes() const { return has_answer_bytes_; }
    void set_unusable() { is_reusable_ = false; }
    bool is_reusable() const { return is_reusable_ && stream_ != nullptr; }
    bool is_answer_complete() const { return is_answer_complete_; }
    void set_idle(std::uint64_t now, std::uint64_t timeout_ms) {
        idle_since_ = now;
        idle_until_ = now + timeout_ms;
    }
    std::optional<std::chrono::milliseconds> peer_timeout() const { return peer_timeout_; }

private:
    void on_data(std::string_view bytes);
    void on_closed(close_reason end_reason);
    void handle_events(std::vector<response_event> events);
    void on_head(response_head& head);
    /// `has_surplus` is true if further bytes follow the response.
    void on_message_end(const message_end& end, bool has_surplus);
    void fail(exchange_failure failure);

    std::weak_ptr<impl> pool_;
    endpoint to_;
    response_parser parser_;
    std::function<bool(const response_head&)> is_expected_;
    std::optional<std::chrono::milliseconds> peer_timeout_;
    std::uint64_t idle_since_ = 0;
    std::uint64_t idle_until_ = 0;
    bool is_answer_complete_ = false;
    bool is_reusable_ = true;
    bool discards_answer_ = false;
    bool has_answer_bytes_ = false;
    /// True once the head of the expected response has arrived.
    bool is_answer_begun_ = false;
    std::size_t bytes_before_answer_ = 0;
    std::uint64_t request_started_ = 0;
    std::chrono::milliseconds acknowledgement_timeout_{0};
};

/// Implementation of exchange. It holds its connection until the exchange is over.
class client::impl::active_exchange : public exchange {
public:
    active_exchange(std::shared_ptr<impl> pool, std::shared_ptr<connection> assigned_connection,
                    handler on_event, body_framing framing)
        : pool_(std::move(pool)), connection_(std::move(assigned_connection)),
          on_event_(std::move(on_event)), framing_(framing),
          timer_(pool_->loop_, [this] { check_connected(); }) {}

    ~active_exchange() override {
        if (connection_ != nullptr) {
            connection_->exchange_ = nullptr;
            connection_->stream_.reset();
        }
    }

    void send_request(const std::string& head_bytes, std::string_view body, bool is_complete,
                      std::chrono::milliseconds connect_timeout) {
        std::string bytes = head_bytes;
        append_framed(bytes, body);
        if (is_complete) {
            append_end(bytes);
        }
        is_body_complete_ = is_complete;
        if (!connection_->stream_->is_connected()) {
            timer_.start(connect_timeout);
        }
        connection_->stream_->write(std::move(bytes));
    }

    void send_body(std::string_view bytes) override {
        if (connection_ == nullptr || connection_->stream_ == nullptr || bytes.empty()) {
            return;
        }
        std::string framed;
        append_framed(framed, bytes);
        connection_->stream_->write(std::move(framed));
    }

    void finish_body() override {
        is_body_complete_ = true;
        if (connection_ != nullptr && connection_->stream_ != nullptr) {
            std::string end;
            append_end(end);
            connection_->stream_->write(std::move(end));
        }
    }

    std::size_t unsent_bytes() const override {
        return has_stream() ? connection_->stream_->unsent_bytes() : 0;
    }
    void pause() override {
        if (has_stream()) {
            connection_->stream_->pause_reading();
        }
    }
    void resume() override {
        if (has_stream()) {
            connection_->stream_->resume_reading();
        }
    }
    bool was_sent() const override {
        return connection_ == nullptr || (has_stream() && connection_->stream_->is_connected());
    }

    bool is_body_complete() const { return is_body_complete_; }

    void emit(exchange_event event) {
        const auto handler = on_event_;
        handler(std::move(event));
    }

    /// Detaches the connection at the end of the exchange and returns it.
    std::shared_ptr<connection> release() { return std::exchange(connection_, nullptr); }

private:
    bool has_stream() const { return connection_ != nullptr && connection_->stream_ != nullptr; }

    void check_connected() {
        if (has_stream() && !connection_->stream_->is_connected()) {
            connection_->stream_.reset();
            emit(exchange_failure::not_sent);
        }
    }

    void append_framed(std::string& to, std::string_view bytes) const {
        if (bytes.empty()) {
            return;
        }
        if (framing_ == body_framing::chunked) {
            to += to_chunk(bytes);
        } else {
            to += bytes;
        }
    }

    void append_end(std::string& to) const {
        if (framing_ == body_framing::chunked) {
            to += last_chunk;
        }
    }

    std::shared_ptr<impl> pool_;
    std::shared_ptr<connection> connection_;
    handler on_event_;
    body_framing framing_;
    loop_timer timer_;
    bool is_body_complete_ = false;
};

void client::impl::connection::on_data(std::string_view bytes) {
    const auto lifetime_guard = shared_from_this();
    if (exchange_ == nullptr) {
        // Unexpected data on an idle connection: a late response to an earlier request.
        stream_.reset();
        if (const auto pool = pool_.lock()) {
            ++pool->counts_.unexpected_answers;
            pool->remove_idle(this);
        }
        return;
    }
    has_answer_bytes_ = true;
    std::vector<response_event> events;
    parser_.feed(bytes, events);
    handle_events(std::move(events));
    if (exchange_ != nullptr && !is_answer_begun_) {
        bytes_before_answer_ += bytes.size();
        if (bytes_before_answer_ > max_bytes_before_response) {
            fail(exchange_failure::bad_answer);
        }
    }
}

void client::impl::connection::on_closed(close_reason end_reason) {
    const auto lifetime_guard = shared_from_this();
    if (exchange_ == nullptr) {
        stream_.reset();
        if (const auto pool = pool_.lock()) {
            pool->remove_idle(this);
        }
        return;
    }
    is_reusable_ = false;
    if (end_reason == close_reason::closed) {
        std::vector<response_event> events;
        parser_.finish(events);
        handle_events(std::move(events));
    }
    const auto pool = pool_.lock();
    if (exchange_ != nullptr && pool != nullptr && end_reason == close_reason::lost &&
        !has_answer_bytes_) {
        const auto waited = uv_now(pool->loop_) - request_started_;
        if (waited >= static_cast<std::uint64_t>(acknowledgement_timeout_.count())) {
            pool->handle_silence(to_, request_started_);
        }
    }
    if (exchange_ != nullptr) {
        fail(end_reason == close_reason::not_connected ? exchange_failure::not_sent
             : has_answer_bytes_                       ? exchange_failure::bad_answer
                                                       : exchange_failure::connection_lost);
    }
}

void client::impl::connection::handle_events(std::vector<response_event> events) {
    for (auto& event : events) {
        if (exchange_ == nullptr) {
            return;
        }
        const bool has_surplus = &event != &events.back();
        std::visit(overloaded{[&](response_head& head) { on_head(head); },
                              [&](body_piece& piece) {
                                  if (!discards_answer_) {
                                      exchange_->emit(std::move(piece));
                                  }
                              },
                              [&](const message_end& end) { on_message_end(end, has_surplus); },
                              [&](const parse_failure&) { fail(exchange_failure::bad_answer); }},
                   event);
    }
}

void client::impl::connection::on_head(response_head& head) {
    if (head.status / 100 == 1) {
        discards_answer_ = true;
        return;
    }
    discards_answer_ = is_expected_ && !is_expected_(head);
    if (discards_answer_) {
        is_reusable_ = false;
        if (const auto pool = pool_.lock()) {
            ++pool->counts_.unexpected_answers;
        }
        return;
    }
    peer_timeout_ = idle_timeout_of(head);
    if (has_connection_close(head.headers)) {
        is_reusable_ = false;
    }
    is_answer_begun_ = true;
    exchange_->emit(std::move(head));
}

void client::impl::connection::on_message_end(const message_end& end, bool has_surplus) {
    if (discards_answer_) {
        discards_answer_ = false;
        return;
    }
    is_answer_complete_ = true;
    auto* finished = exchange_;
    is_reusable_ = is_reusable_ && end.keep_alive && !has_surplus && finished->is_body_complete();
    exchange_ = nullptr;
    const auto self = finished->release();
    const auto pool = pool_.lock();
    if (pool != nullptr && is_reusable()) {
        pool->add_idle(shared_from_this());
    } else {
        stream_.reset();
    }
    finished->emit(end);
}

void client::impl::connection::fail(exchange_failure failure) {
    auto* failed = std::exchange(exchange_, nullptr);
    stream_.reset();
    const auto self = failed->release();
    failed->emit(failure);
}

std::unique_ptr<exchange> client::impl::start(const endpoint& to, const request_head& head,
                                              std::string_view body, bool is_complete,
                                              exchange_options options, handler on_event) {
    auto assigned_connection = take_idle(to, options.max_idle_time);
    if (assigned_connection == nullptr) {
        assigned_connection = std::make_shared<connection>(weak_from_this(), to);
        assigned_connection->open(loop_);
        ++counts_.connections_opened;
    }
    ++counts_.requests;
    auto made = std::make_unique<active_exchange>(shared_from_this(), assigned_connection,
                                                  std::move(on_event), head.framing);
    assigned_connection->start_request(uv_now(loop_), options.acknowledgement_timeout);
    assigned_connection->attach(made.get(), head.method == "HEAD", std::move(options.is_expected));
    made->send_request(to_bytes(head), body, is_complete, options.connect_timeout);
    return made;
}

std::shared_ptr<client::impl::connection>
client::impl::take_idle(const endpoint& to, std::chrono::milliseconds max_idle) {
    const auto found = idle_.find(to);
    if (found == idle_.end()) {
        return nullptr;
    }
    auto& idle_connections = found->second;
    const auto now = uv_now(loop_);
    while (!idle_connections.empty()) {
        auto last = idle_connections.back();
        const bool is_fresh = now < last->idle_until();
        if (is_fresh && now - last->idle_since() > static_cast<std::uint64_t>(max_idle.count())) {
            return nullptr;
        }
        idle_connections.pop_back();
        if (is_fresh && last->stream_ != nullptr) {
            return last;
        }
        last->stream_.reset();
    }
    return nullptr;
}

void client::impl::add_idle(const std::shared_ptr<connection>& released) {
    auto timeout = limits_.idle_timeout;
    if (const auto announced = released->peer_timeout()) {
        timeout = std::min(timeout, *announced > keep_alive_margin ? *announced - keep_alive_margin
                                                                   : std::chrono::milliseconds(0));
    }
    released->set_idle(uv_now(loop_), static_cast<std::uint64_t>(timeout.count()));
    auto& idle_connections = idle_[released->to()];
    if (idle_connections.size() >= limits_.max_idle_connections) {
        idle_connections.front()->stream_.reset();
        idle_connections.pop_front();
    }
    idle_connections.push_back(released);
}

void client::impl::remove_idle(const connection* closed_connection) {
    const auto found = idle_.find(closed_connection->to());
    if (found != idle_.end()) {
        std::erase_if(found->second, [&](const auto& idle_connections) {
            return idle_connections.get() == closed_connection;
        });
    }
}

void client::impl::close_idle_since(std::deque<std::shared_ptr<connection>>& idle_connections,
                                    std::uint64_t since) {
    std::erase_if(idle_connections, [&](const std::shared_ptr<connection>& idle_connection) {
        const bool is_unused = idle_connection->idle_since() <= since;
        if (is_unused) {
            idle_connection->stream_.reset();
        }
        return is_unused;
    });
}

void client::impl::handle_silence(const endpoint& where, std::uint64_t since) {
    const auto now = uv_now(loop_);
    const bool is_elsewhere_too =
        silent_address_ && *silent_address_ != where && now - silent_at_ <= silence_correlation_ms;
    silent_address_ = where;
    silent_at_ = now;
    for (auto& [address, idle_connections] : idle_) {
        if (is_elsewhere_too || address == where) {
            close_idle_since(idle_connections, since);
        }
    }
}

void client::impl::close_expired_connections() {
    const auto now = uv_now(loop_);
    for (auto at = idle_.begin(); at != idle_.end();) {
        auto& idle_connections = at->second;
        while (!idle_connections.empty() && idle_connections.front()->idle_until() <= now) {
            idle_connections.front()->stream_.reset();
            idle_connections.pop_front();
        }
        at = idle_connections.empty() ? idle_.erase(at) : std::next(at);
    }
}

client::client(uv_loop_s* loop, connection_pool_limits limits)
    : impl_(std::make_shared<impl>(loop, limits)) {}

client::~client() {
    impl_->idle_.clear();
}

std::unique_ptr<exchange> client::start(const endpoint& to, const request_head& head,
                                        std::string_view body, bool is_complete,
                                        exchange_options options, handler on_event) {
    return impl_->start(to, head, body, is_complete, std::move(options), std::move(on_event));
}

void client::close_expired_connections() {
    impl_->close_expired_connections();
}

const client_counts& client::counts() const {
    return impl_->counts_;
}

} // namespace trefoil::http1
