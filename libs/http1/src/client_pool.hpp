// Pool of connections of a client, and the exchanges that use them.
#pragma once

#include <algorithm>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include <uv.h>

#include <trefoil/base/hash.hpp>
#include <trefoil/http1/client.hpp>
#include <trefoil/http1/loop_timer.hpp>
#include <trefoil/http1/message_parser.hpp>
#include <trefoil/http1/tcp_stream.hpp>

#include "embedded_response.hpp"

namespace trefoil::http1 {

/// The pool. Connections refer to it weakly, since they may outlive it for the rest of an exchange.
class client::impl : public std::enable_shared_from_this<client::impl> {
public:
    class connection;
    class active_exchange;

    impl(uv_loop_t* loop, connection_pool_limits limits) : loop_(loop), limits_(limits) {}

    std::unique_ptr<exchange> start(const endpoint& to, const request_head& head,
                                    std::string_view body, bool is_complete,
                                    exchange_options options, handler on_event);
    /// Removes an idle connection to the address from the pool and returns it. Returns null if
    /// there is none that has been idle for at most `max_idle` and has not carried a request with
    /// this id.
    std::shared_ptr<connection> take_idle(const endpoint& to, std::chrono::milliseconds max_idle,
                                          const std::string& id);
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
    discard_handler on_discarded_;
    /// Idle connections by address, with the most recently used one at the back.
    std::map<endpoint, std::deque<std::shared_ptr<connection>>> idle_;
    /// Where and when a connection was last found silent.
    std::optional<endpoint> silent_address_;
    std::uint64_t silent_at_ = 0;
};

/// One connection. It is in use while it has an active exchange, else idle.
class client::impl::connection : public std::enable_shared_from_this<connection> {
public:
    connection(std::weak_ptr<impl> pool, endpoint to, std::uint64_t number)
        : pool_(std::move(pool)), to_(std::move(to)) {
        use_.connection = number;
    }

    void open(uv_loop_t* loop) {
        stream_ = tcp_stream::connect(loop, to_,
                                      {{},
                                       [this](std::string_view bytes) { on_data(bytes); },
                                       [this](close_reason end_reason) { on_closed(end_reason); },
                                       [this] { on_drained(); }});
    }

    const endpoint& to() const { return to_; }
    std::uint64_t idle_since() const { return idle_since_; }
    std::uint64_t idle_until() const { return idle_until_; }

    active_exchange* exchange_ = nullptr;
    std::unique_ptr<tcp_stream> stream_;

    /// Prepares the connection for the response of a new exchange. A response to a request with
    /// HEAD can be framed only if no other response may stand before or after it, so such a
    /// connection carries no other request.
    void attach(active_exchange* assigned, bool has_no_body,
                std::optional<response_identity> identity) {
        exchange_ = assigned;
        identity_ = std::move(identity);
        ++use_.request;
        if (identity_) {
            carried_ids_.push_back(stable_hash(identity_->id));
        }
        is_answer_complete_ = false;
        is_reusable_ = true;
        discards_answer_ = false;
        has_answer_bytes_ = false;
        is_answer_begun_ = false;
        bytes_before_answer_ = 0;
        if (has_no_body) {
            parser_.expect_no_body();
            is_reusable_ = false;
        }
    }
    /// Notes the start of a request, whose data must be acknowledged within the timeout.
    void start_request(std::uint64_t now,
                       std::optional<std::chrono::milliseconds> acknowledgement_timeout) {
        request_started_ = now;
        acknowledgement_timeout_ = acknowledgement_timeout.value_or(silence_timeout);
        stream_->set_user_timeout(acknowledgement_timeout);
    }
    bool has_answer_bytes() const { return has_answer_bytes_; }
    /// True if a request with this id was sent over the connection. A response to it may still
    /// follow, so no other request with the id may use the connection.
    bool has_carried(const std::string& id) const {
        return std::find(carried_ids_.begin(), carried_ids_.end(), stable_hash(id)) !=
               carried_ids_.end();
    }
    void set_unusable() { is_reusable_ = false; }
    bool is_reusable() const {
        return is_reusable_ && stream_ != nullptr && carried_ids_.size() < max_identified_requests;
    }
    bool is_answer_complete() const { return is_answer_complete_; }
    void set_idle(std::uint64_t now, std::uint64_t timeout_ms) {
        idle_since_ = now;
        idle_until_ = now + timeout_ms;
    }
    std::optional<std::chrono::milliseconds> peer_timeout() const { return peer_timeout_; }
    const connection_use& use() const { return use_; }

private:
    /// A connection is closed after this number of requests whose ids must be remembered.
    static constexpr std::size_t max_identified_requests = 1024;
    /// A request that fails after this time, without an acknowledgement, has met a silent peer.
    static constexpr std::chrono::milliseconds silence_timeout{2500};

    void on_data(std::string_view bytes);
    void on_closed(close_reason end_reason);
    void on_drained();
    void handle_events(std::vector<response_event> events);
    void on_head(response_head& head);
    void on_body(body_piece& piece);
    /// True if a head that names a request of this connection stands within the body.
    bool holds_another_answer() const;
    void on_message_end(const message_end& end);
    void fail(exchange_failure failure);
    /// Fails the exchange because of its response.
    void fail(answer_fault fault);
    /// Returns why the response is not that of the request; empty if it is.
    std::optional<discard_cause> cause_to_discard(const response_head& head) const;
    void report_discarded(discard_cause cause, std::optional<response_head> head);

    std::weak_ptr<impl> pool_;
    endpoint to_;
    response_parser parser_;
    std::optional<response_identity> identity_;
    /// Hashes of the ids of all requests of the connection.
    std::vector<std::uint64_t> carried_ids_;
    connection_use use_;
    std::optional<std::chrono::milliseconds> peer_timeout_;
    std::uint64_t idle_since_ = 0;
    std::uint64_t idle_until_ = 0;
    bool is_answer_complete_ = false;
    bool is_reusable_ = true;
    bool discards_answer_ = false;
    bool has_answer_bytes_ = false;
    /// True once the head of the expected response has arrived.
    bool is_answer_begun_ = false;
    /// The body that is being read, whether it is passed on or discarded.
    embedded_response_finder body_;
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
        if (connection_ == nullptr) {
            return;
        }
        connection_->exchange_ = nullptr;
        const auto stream = std::move(connection_->stream_);
        const bool is_cut = !is_body_complete_ || (stream != nullptr && stream->unsent_bytes() > 0);
        if (stream != nullptr && is_cut) {
            // The end of a connection is seen only behind the bytes that the peer has not read yet.
            stream->reset();
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
    void set_drained_handler(std::function<void()> on_drained) override {
        on_drained_ = std::move(on_drained);
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
    void notify_drained() {
        if (on_drained_) {
            const auto handler = on_drained_;
            handler();
        }
    }

    /// Detaches the connection at the end of the exchange and returns it.
    std::shared_ptr<connection> release() {
        last_use_ = connection_->use();
        return std::exchange(connection_, nullptr);
    }
    connection_use use() const override {
        return connection_ == nullptr ? last_use_ : connection_->use();
    }

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
    std::function<void()> on_drained_;
    body_framing framing_;
    connection_use last_use_;
    loop_timer timer_;
    bool is_body_complete_ = false;
};

} // namespace trefoil::http1
