#include <trefoil/http/http_client.hpp>

#include <algorithm>
#include <optional>
#include <unordered_map>

#include <uv.h>

#include <trefoil/base/overloaded.hpp>
#include <trefoil/http1/client.hpp>
#include <trefoil/http1/header_rules.hpp>
#include <trefoil/http1/loop_timer.hpp>

namespace trefoil {
namespace {

/// The idle timeout is shorter than that of a server of this library, so that the client closes an
/// idle connection first.
constexpr http1::connection_pool_limits pool_limits{100'000, std::chrono::milliseconds(4000)};
constexpr std::chrono::milliseconds sweep_interval{1000};

http1::request_head head_of(const http_request& request) {
    http1::request_head head;
    head.method = request.method;
    head.target = request.path;
    head.headers.push_back({"host", request.service.str()});
    std::copy_if(request.headers.begin(), request.headers.end(), std::back_inserter(head.headers),
                 [](const http_header& field) { return !is_hop_by_hop(field.name); });
    head.framing = http1::body_framing::length;
    head.content_length = request.body.size();
    return head;
}

exchange_failure failure_of(http1::exchange_failure failure) {
    return failure == http1::exchange_failure::not_sent ? exchange_failure::not_sent
                                                        : exchange_failure::connection_lost;
}

} // namespace

class http_client::impl {
public:
    explicit impl(uv_loop_t* loop) : loop_(loop), client_(loop, pool_limits) {}

    request_id send(const endpoint& to, const http_request& request, const exchange_limits& limits,
                    done_handler done) {
        close_expired_connections();
        const auto id = ++last_id_;
        auto made = std::make_unique<exchange>(*this, id, limits, std::move(done));
        auto& started = *made;
        exchanges_.emplace(id, std::move(made));
        started.start(to, request);
        return id;
    }

    void cancel(request_id id) { exchanges_.erase(id); }

    std::size_t pending() const { return exchanges_.size(); }

private:
    /// One request and its response. finish() destroys it.
    class exchange {
    public:
        exchange(impl& owner, request_id id, const exchange_limits& limits, done_handler done)
            : owner_(owner), id_(id), limits_(limits), done_(std::move(done)),
              timer_(owner.loop_, [this] { on_timeout(); }) {}

        void start(const endpoint& to, const http_request& request) {
            http1::exchange_options options;
            options.connect_timeout = std::min(limits_.connect_timeout, limits_.timeout);
            exchange_ = owner_.client_.start(
                to, head_of(request), request.body, true, std::move(options),
                [this](http1::exchange_event event) { on_event(std::move(event)); });
            timer_.start(limits_.timeout);
        }

    private:
        void on_timeout() {
            finish(exchange_->was_sent() ? exchange_failure::timed_out
                                         : exchange_failure::not_sent);
        }

        void on_event(http1::exchange_event event) {
            std::visit(overloaded{[&](http1::response_head& head) { on_head(std::move(head)); },
                                  [&](const http1::body_piece& piece) { on_body(piece.bytes); },
                                  [&](const http1::message_end&) { on_end(); },
                                  [&](http1::exchange_failure why) { finish(failure_of(why)); }},
                       event);
        }

        void on_head(http1::response_head head) {
            has_known_end_ = head.framing != http1::body_framing::connection_close;
            answer_.status = head.status;
            answer_.headers = std::move(head.headers);
            std::erase_if(answer_.headers,
                          [](const http_header& field) { return is_hop_by_hop(field.name); });
        }

        void on_body(std::string_view bytes) {
            if (answer_.body.size() + bytes.size() > limits_.max_answer_bytes) {
                finish(exchange_failure::answer_too_large);
                return;
            }
            answer_.body += bytes;
        }

        void on_end() {
            if (has_known_end_) {
                finish(std::move(answer_));
            } else {
                finish(exchange_failure::bad_answer);
            }
        }

        /// Reports the result. Destroys the exchange first, since the handler may send the next
        /// request.
        void finish(exchange_result result) {
            const auto done = std::move(done_);
            owner_.exchanges_.erase(id_);
            done(std::move(result));
        }

        impl& owner_;
        request_id id_;
        exchange_limits limits_;
        done_handler done_;
        std::unique_ptr<http1::exchange> exchange_;
        http_answer answer_;
        /// False if the end of the connection ends the response.
        bool has_known_end_ = false;
        http1::loop_timer timer_;
    };

    void close_expired_connections() {
        const auto now = http1::loop_time(loop_);
        if (now - swept_ >= sweep_interval) {
            swept_ = now;
            client_.close_expired_connections();
        }
    }

    uv_loop_t* loop_;
    http1::client client_;
    std::unordered_map<request_id, std::unique_ptr<exchange>> exchanges_;
    request_id last_id_ = 0;
    time_point swept_{};
};

http_client::http_client(uv_loop_s* loop) : impl_(std::make_unique<impl>(loop)) {}

http_client::~http_client() {
    // Deliberately leaked: connections and timers refer to the implementation until the loop ends,
    // which is when the process ends.
    static_cast<void>(impl_.release());
}

http_client::request_id http_client::send(const endpoint& to, const http_request& request,
                                          const exchange_limits& limits, done_handler done) {
    return impl_->send(to, request, limits, std::move(done));
}
void http_client::cancel(request_id request) {
    impl_->cancel(request);
}
std::size_t http_client::pending() const {
    return impl_->pending();
}

} // namespace trefoil
