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

/// A connection is given up this long before the peer says that it will close it.
constexpr std::chrono::milliseconds idle_margin{700};

/// The idle timeout that a `Keep-Alive: timeout=SECONDS` header names.
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

bool says_close(const std::vector<http_header>& headers) {
    return find_header(headers, "connection").find("lose") != std::string_view::npos;
}

} // namespace

class client::impl : public std::enable_shared_from_this<client::impl> {
public:
    class connection;
    class running;

    impl(uv_loop_t* loop, client_limits limits) : loop_(loop), limits_(limits) {}

    std::unique_ptr<exchange> start(const endpoint& to, const request_head& head,
                                    std::string_view body, bool is_complete,
                                    exchange_options options, handler on_event);
    std::shared_ptr<connection> take_idle(const endpoint& to, std::chrono::milliseconds max_idle);
    void keep(const std::shared_ptr<connection>& made);
    void drop_idle(const connection* gone);
    void sweep();

    uv_loop_t* loop_;
    client_limits limits_;
    client_counts counts_;
    /// Idle connections by address, the one used last at the back.
    std::map<endpoint, std::deque<std::shared_ptr<connection>>> idle_;
};

/// One connection; busy while it has an exchange.
class client::impl::connection : public std::enable_shared_from_this<connection> {
public:
    connection(std::weak_ptr<impl> pool, endpoint to)
        : pool_(std::move(pool)), to_(std::move(to)) {}

    void open(uv_loop_t* loop) {
        stream_ = tcp_stream::connect(loop, to_,
                                      {{},
                                       [this](std::string_view bytes) { read(bytes); },
                                       [this](stream_end how) { ended(how); },
                                       {}});
    }

    const endpoint& to() const { return to_; }
    std::uint64_t idle_since() const { return idle_since_; }
    std::uint64_t idle_until() const { return idle_until_; }

    running* user_ = nullptr;
    std::unique_ptr<tcp_stream> stream_;

    void begin(running* user, bool has_no_body,
               std::function<bool(const response_head&)> expected) {
        user_ = user;
        is_expected_ = std::move(expected);
        answer_done_ = false;
        is_reusable_ = true;
        drops_answer_ = false;
        has_answer_bytes_ = false;
        if (has_no_body) {
            parser_.expect_no_body();
        }
    }
    bool has_answer_bytes() const { return has_answer_bytes_; }
    void set_unusable() { is_reusable_ = false; }
    bool is_reusable() const { return is_reusable_ && stream_ != nullptr; }
    bool answer_done() const { return answer_done_; }
    void set_idle(std::uint64_t now, std::uint64_t timeout_ms) {
        idle_since_ = now;
        idle_until_ = now + timeout_ms;
    }
    std::optional<std::chrono::milliseconds> peer_timeout() const { return peer_timeout_; }

private:
    void read(std::string_view bytes);
    void ended(stream_end how);
    void deliver(std::vector<response_event> events);
    void take(response_head& head);
    /// `has_surplus` if bytes follow the answer.
    void take_end(const message_end& end, bool has_surplus);
    void fail(exchange_failure why);

    std::weak_ptr<impl> pool_;
    endpoint to_;
    response_parser parser_;
    std::function<bool(const response_head&)> is_expected_;
    std::optional<std::chrono::milliseconds> peer_timeout_;
    std::uint64_t idle_since_ = 0;
    std::uint64_t idle_until_ = 0;
    bool answer_done_ = false;
    bool is_reusable_ = true;
    bool drops_answer_ = false;
    bool has_answer_bytes_ = false;
};

/// The exchange that a caller holds.
class client::impl::running : public exchange {
public:
    running(std::shared_ptr<impl> pool, std::shared_ptr<connection> used, handler on_event,
            body_end framing)
        : pool_(std::move(pool)), connection_(std::move(used)), on_event_(std::move(on_event)),
          framing_(framing), timer_(pool_->loop_, [this] { check_connected(); }) {}

    ~running() override {
        if (connection_ != nullptr) {
            connection_->user_ = nullptr;
            connection_->stream_.reset();
        }
    }

    void begin(const std::string& head_bytes, std::string_view body, bool is_complete,
               std::chrono::milliseconds connect_timeout) {
        std::string bytes = head_bytes;
        append_framed(bytes, body);
        if (is_complete) {
            append_end(bytes);
        }
        is_body_done_ = is_complete;
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
        is_body_done_ = true;
        if (connection_ != nullptr && connection_->stream_ != nullptr) {
            std::string end;
            append_end(end);
            connection_->stream_->write(std::move(end));
        }
    }

    std::size_t unsent() const override {
        return has_stream() ? connection_->stream_->unsent() : 0;
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

    bool is_body_done() const { return is_body_done_; }

    void emit(exchange_event event) {
        const auto handler = on_event_;
        handler(std::move(event));
    }

    /// Gives the connection back; the exchange is over.
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
        if (framing_ == body_end::chunks) {
            to += to_chunk(bytes);
        } else {
            to += bytes;
        }
    }

    void append_end(std::string& to) const {
        if (framing_ == body_end::chunks) {
            to += last_chunk;
        }
    }

    std::shared_ptr<impl> pool_;
    std::shared_ptr<connection> connection_;
    handler on_event_;
    body_end framing_;
    loop_timer timer_;
    bool is_body_done_ = false;
};

void client::impl::connection::read(std::string_view bytes) {
    const auto keeps_alive = shared_from_this();
    if (user_ == nullptr) {
        // Bytes that nobody asked for: an answer that comes late.
        stream_.reset();
        if (const auto pool = pool_.lock()) {
            ++pool->counts_.unexpected_answers;
            pool->drop_idle(this);
        }
        return;
    }
    has_answer_bytes_ = true;
    std::vector<response_event> events;
    parser_.feed(bytes, events);
    deliver(std::move(events));
}

void client::impl::connection::ended(stream_end how) {
    const auto keeps_alive = shared_from_this();
    if (user_ == nullptr) {
        stream_.reset();
        if (const auto pool = pool_.lock()) {
            pool->drop_idle(this);
        }
        return;
    }
    is_reusable_ = false;
    if (how == stream_end::closed) {
        std::vector<response_event> events;
        parser_.finish(events);
        deliver(std::move(events));
    }
    if (user_ != nullptr) {
        fail(how == stream_end::not_connected ? exchange_failure::not_sent
             : has_answer_bytes_              ? exchange_failure::bad_answer
                                              : exchange_failure::lost);
    }
}

void client::impl::connection::deliver(std::vector<response_event> events) {
    for (auto& event : events) {
        if (user_ == nullptr) {
            return;
        }
        const bool has_surplus = &event != &events.back();
        std::visit(overloaded{[&](response_head& head) { take(head); },
                              [&](body_piece& piece) {
                                  if (!drops_answer_) {
                                      user_->emit(std::move(piece));
                                  }
                              },
                              [&](const message_end& end) { take_end(end, has_surplus); },
                              [&](const parse_failure&) { fail(exchange_failure::bad_answer); }},
                   event);
    }
}

void client::impl::connection::take(response_head& head) {
    if (head.status / 100 == 1) {
        drops_answer_ = true;
        return;
    }
    drops_answer_ = is_expected_ && !is_expected_(head);
    if (drops_answer_) {
        is_reusable_ = false;
        if (const auto pool = pool_.lock()) {
            ++pool->counts_.unexpected_answers;
        }
        return;
    }
    peer_timeout_ = idle_timeout_of(head);
    if (says_close(head.headers)) {
        is_reusable_ = false;
    }
    user_->emit(std::move(head));
}

void client::impl::connection::take_end(const message_end& end, bool has_surplus) {
    if (drops_answer_) {
        drops_answer_ = false;
        return;
    }
    answer_done_ = true;
    auto* user = user_;
    is_reusable_ = is_reusable_ && end.keeps_connection && !has_surplus && user->is_body_done();
    user_ = nullptr;
    const auto self = user->release();
    const auto pool = pool_.lock();
    if (pool != nullptr && is_reusable()) {
        pool->keep(shared_from_this());
    } else {
        stream_.reset();
    }
    user->emit(end);
}

void client::impl::connection::fail(exchange_failure why) {
    auto* user = std::exchange(user_, nullptr);
    stream_.reset();
    const auto self = user->release();
    user->emit(why);
}

std::unique_ptr<exchange> client::impl::start(const endpoint& to, const request_head& head,
                                              std::string_view body, bool is_complete,
                                              exchange_options options, handler on_event) {
    auto used = take_idle(to, options.max_idle);
    if (used == nullptr) {
        used = std::make_shared<connection>(weak_from_this(), to);
        used->open(loop_);
        ++counts_.connections_opened;
    }
    ++counts_.requests;
    auto made =
        std::make_unique<running>(shared_from_this(), used, std::move(on_event), head.framing);
    used->begin(made.get(), head.method == "HEAD", std::move(options.is_expected));
    made->begin(to_bytes(head), body, is_complete, options.connect_timeout);
    return made;
}

std::shared_ptr<client::impl::connection>
client::impl::take_idle(const endpoint& to, std::chrono::milliseconds max_idle) {
    const auto found = idle_.find(to);
    if (found == idle_.end()) {
        return nullptr;
    }
    auto& kept = found->second;
    const auto now = uv_now(loop_);
    while (!kept.empty()) {
        auto last = kept.back();
        const bool is_fresh = now < last->idle_until();
        if (is_fresh && now - last->idle_since() > static_cast<std::uint64_t>(max_idle.count())) {
            return nullptr;
        }
        kept.pop_back();
        if (is_fresh && last->stream_ != nullptr) {
            return last;
        }
        last->stream_.reset();
    }
    return nullptr;
}

void client::impl::keep(const std::shared_ptr<connection>& made) {
    auto timeout = limits_.idle_timeout;
    if (const auto named = made->peer_timeout()) {
        timeout = std::min(timeout, *named > idle_margin ? *named - idle_margin
                                                         : std::chrono::milliseconds(0));
    }
    made->set_idle(uv_now(loop_), static_cast<std::uint64_t>(timeout.count()));
    auto& kept = idle_[made->to()];
    if (kept.size() >= limits_.max_idle) {
        kept.front()->stream_.reset();
        kept.pop_front();
    }
    kept.push_back(made);
}

void client::impl::drop_idle(const connection* gone) {
    const auto found = idle_.find(gone->to());
    if (found != idle_.end()) {
        std::erase_if(found->second, [&](const auto& kept) { return kept.get() == gone; });
    }
}

void client::impl::sweep() {
    const auto now = uv_now(loop_);
    for (auto at = idle_.begin(); at != idle_.end();) {
        auto& kept = at->second;
        while (!kept.empty() && kept.front()->idle_until() <= now) {
            kept.front()->stream_.reset();
            kept.pop_front();
        }
        at = kept.empty() ? idle_.erase(at) : std::next(at);
    }
}

client::client(uv_loop_s* loop, client_limits limits)
    : impl_(std::make_shared<impl>(loop, limits)) {}

client::~client() {
    impl_->idle_.clear();
}

std::unique_ptr<exchange> client::start(const endpoint& to, const request_head& head,
                                        std::string_view body, bool is_complete,
                                        exchange_options options, handler on_event) {
    return impl_->start(to, head, body, is_complete, std::move(options), std::move(on_event));
}

void client::sweep() {
    impl_->sweep();
}

const client_counts& client::counts() const {
    return impl_->counts_;
}

} // namespace trefoil::http1
