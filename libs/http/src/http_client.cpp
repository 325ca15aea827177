#include <trefoil/http/http_client.hpp>

#include <algorithm>
#include <map>
#include <unordered_map>

#include <trefoil/http1/header_rules.hpp>

#include "h2o_uv.hpp"

namespace trefoil {
namespace {

/// Shorter than the idle timeout of a server of this library, so that the client closes an idle
/// connection first.
constexpr std::uint64_t idle_timeout_ms = 4000;
/// h2o's own I/O timeout. The timer of each exchange is shorter and takes effect first.
constexpr std::uint64_t io_timeout_ms = 700'000;
constexpr std::size_t pool_capacity = 100'000;

std::string serialize_request(const http_request& request) {
    std::string text;
    text.reserve(256 + request.body.size());
    text += request.method;
    text += ' ';
    text += request.path;
    text += " HTTP/1.1\r\nhost: ";
    text += request.service.str();
    text += "\r\ncontent-length: ";
    text += std::to_string(request.body.size());
    text += "\r\n";
    for (const auto& field : request.headers) {
        if (!is_hop_by_hop(field.name)) {
            text += field.name;
            text += ": ";
            text += field.value;
            text += "\r\n";
        }
    }
    text += "\r\n";
    text += request.body;
    return text;
}

} // namespace

class http_client::impl {
public:
    explicit impl(uv_loop_t* loop) : loop_(loop) {
        h2o_timeout_init(loop_, &io_timeout_, io_timeout_ms);
        context_.loop = loop_;
        context_.io_timeout = &io_timeout_;
    }

    request_id send(const endpoint& to, const http_request& request, const exchange_limits& limits,
                    done_handler done) {
        const auto id = ++last_id_;
        auto* made = new exchange(*this, id, limits, serialize_request(request),
                                  request.method == "HEAD", std::move(done));
        exchanges_.emplace(id, made);
        made->start(get_pool(to));
        return id;
    }

    void cancel(request_id id) {
        const auto found = exchanges_.find(id);
        if (found != exchanges_.end()) {
            found->second->abort();
        }
    }

    std::size_t pending() const { return exchanges_.size(); }

private:
    /// One request and its response. It deletes itself once its timer is closed.
    class exchange {
    public:
        exchange(impl& owner, request_id id, const exchange_limits& limits, std::string text,
                 bool is_head, done_handler done)
            : owner_(owner), id_(id), limits_(limits), request_bytes_(std::move(text)),
              is_head_(is_head), done_(std::move(done)) {
            uv_timer_init(owner_.loop_, &timer_);
            timer_.data = this;
        }

        void start(h2o_socketpool_t* pool) {
            const auto wait = std::min(limits_.connect_timeout, limits_.timeout);
            uv_timer_start(&timer_, on_timer, static_cast<std::uint64_t>(wait.count()), 0);
            if (pool == nullptr) {
                fail_later(exchange_failure::not_sent);
                return;
            }
            h2o_http1client_connect_with_pool(&client_, this, &owner_.context_, pool, on_connect);
        }

        /// Ends the exchange without a call of the done handler.
        void abort() {
            done_ = nullptr;
            finish(exchange_failure::connection_lost);
        }

    private:
        static exchange* from_client(h2o_http1client_t* client) {
            return static_cast<exchange*>(client->data);
        }

        static void on_timer(uv_timer_t* timer) {
            auto* self = static_cast<exchange*>(timer->data);
            self->finish(self->is_sent_ ? exchange_failure::timed_out : exchange_failure::not_sent);
        }

        static h2o_http1client_head_cb on_connect(h2o_http1client_t* client, const char* error,
                                                  h2o_iovec_t** buffers, size_t* buffer_count,
                                                  int* method_is_head) {
            auto* self = from_client(client);
            if (error != nullptr) {
                self->client_ = nullptr;
                self->finish(exchange_failure::not_sent);
                return nullptr;
            }
            self->is_sent_ = true;
            uv_timer_start(&self->timer_, on_timer,
                           static_cast<std::uint64_t>(self->limits_.timeout.count()), 0);
            self->buffer_ =
                h2o_iovec_init(self->request_bytes_.data(), self->request_bytes_.size());
            *buffers = &self->buffer_;
            *buffer_count = 1;
            *method_is_head = self->is_head_ ? 1 : 0;
            return on_head;
        }

        static h2o_http1client_body_cb on_head(h2o_http1client_t* client, const char* error, int,
                                               int status, h2o_iovec_t, h2o_header_t* headers,
                                               size_t header_count, int) {
            auto* self = from_client(client);
            const bool has_no_body = error == h2o_http1client_error_is_eos;
            if (error != nullptr && !has_no_body) {
                self->client_ = nullptr;
                self->finish(exchange_failure::connection_lost);
                return nullptr;
            }
            self->answer_.status = status;
            bool has_body_framing = has_no_body;
            for (std::size_t i = 0; i < header_count; ++i) {
                std::string name(to_view(*headers[i].name));
                std::string value(to_view(headers[i].value));
                has_body_framing =
                    has_body_framing || name == "content-length" || name == "transfer-encoding";
                if (!is_hop_by_hop(name)) {
                    self->answer_.headers.push_back({std::move(name), std::move(value)});
                }
            }
            self->has_body_framing_ = has_body_framing;
            if (has_no_body) {
                self->client_ = nullptr;
                self->finish(std::move(self->answer_));
                return nullptr;
            }
            return on_body;
        }

        static int on_body(h2o_http1client_t* client, const char* error) {
            auto* self = from_client(client);
            const bool is_end = error == h2o_http1client_error_is_eos;
            if (error != nullptr && !is_end) {
                self->client_ = nullptr;
                self->finish(exchange_failure::connection_lost);
                return 0;
            }
            auto& input = client->sock->input;
            if (input->size + self->answer_.body.size() > self->limits_.max_answer_bytes) {
                self->client_ = nullptr;
                self->finish(exchange_failure::answer_too_large);
                return -1;
            }
            self->answer_.body.append(input->bytes, input->size);
            h2o_buffer_consume(&input, input->size);
            if (is_end) {
                self->client_ = nullptr;
                if (self->has_body_framing_) {
                    self->finish(std::move(self->answer_));
                } else {
                    self->finish(exchange_failure::bad_answer);
                }
            }
            return 0;
        }

        /// Reports a failure from the event loop, after send() has returned.
        void fail_later(exchange_failure failure) {
            deferred_failure_ = failure;
            uv_timer_start(
                &timer_,
                [](uv_timer_t* timer) {
                    auto* self = static_cast<exchange*>(timer->data);
                    self->finish(self->deferred_failure_);
                },
                0, 0);
        }

        void finish(exchange_result result) {
            if (is_finished_) {
                return;
            }
            is_finished_ = true;
            if (client_ != nullptr) {
                h2o_http1client_cancel(client_);
                client_ = nullptr;
            }
            owner_.exchanges_.erase(id_);
            auto done = std::move(done_);
            uv_close(reinterpret_cast<uv_handle_t*>(&timer_),
                     [](uv_handle_t* handle) { delete static_cast<exchange*>(handle->data); });
            if (done) {
                done(std::move(result));
            }
        }

        impl& owner_;
        request_id id_;
        exchange_limits limits_;
        std::string request_bytes_;
        bool is_head_;
        done_handler done_;
        uv_timer_t timer_{};
        h2o_http1client_t* client_ = nullptr;
        h2o_iovec_t buffer_{};
        http_answer answer_;
        exchange_failure deferred_failure_ = exchange_failure::not_sent;
        bool is_sent_ = false;
        bool has_body_framing_ = false;
        bool is_finished_ = false;
    };

    h2o_socketpool_t* get_pool(const endpoint& to) {
        const auto found = pools_.find(to);
        if (found != pools_.end()) {
            return found->second;
        }
        sockaddr_storage address{};
        const auto length = to_sockaddr(to.ip, to.port, address);
        if (length == 0) {
            return nullptr;
        }
        auto* pool = new h2o_socketpool_t{};
        h2o_socketpool_init_by_address(pool, reinterpret_cast<sockaddr*>(&address), length, 0,
                                       pool_capacity);
        h2o_socketpool_set_timeout(pool, loop_, idle_timeout_ms);
        pools_.emplace(to, pool);
        return pool;
    }

    uv_loop_t* loop_;
    h2o_timeout_t io_timeout_{};
    h2o_http1client_ctx_t context_{};
    std::map<endpoint, h2o_socketpool_t*> pools_;
    std::unordered_map<request_id, exchange*> exchanges_;
    request_id last_id_ = 0;
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
