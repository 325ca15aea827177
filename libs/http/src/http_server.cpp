#include <trefoil/http/http_server.hpp>

#include <cstring>
#include <set>
#include <unistd.h>
#include <unordered_map>

#include <fmt/format.h>

#include <trefoil/base/error.hpp>
#include <trefoil/http1/header_rules.hpp>
#include <trefoil/http1/socket_address.hpp>

#include "h2o_uv.hpp"

namespace trefoil {
namespace {

constexpr int listen_backlog = 512;

/// Detects that the client disconnects while its request is in flight. It is needed because h2o
/// does not read from an HTTP/1 connection during that time. It deletes itself once it is closed.
class disconnect_monitor {
public:
    disconnect_monitor(uv_loop_t* loop, int fd, std::function<void()> on_disconnect)
        : fd_(fd), on_disconnect_(std::move(on_disconnect)) {
        uv_poll_init(loop, &poll_, fd_);
        poll_.data = this;
        uv_poll_start(&poll_, UV_DISCONNECT, [](uv_poll_t* poll, int, int) {
            auto* self = static_cast<disconnect_monitor*>(poll->data);
            uv_poll_stop(poll);
            self->on_disconnect_();
        });
    }

    void close() {
        uv_close(reinterpret_cast<uv_handle_t*>(&poll_), [](uv_handle_t* handle) {
            auto* self = static_cast<disconnect_monitor*>(handle->data);
            ::close(self->fd_);
            delete self;
        });
    }

private:
    uv_poll_t poll_{};
    int fd_;
    std::function<void()> on_disconnect_;
};

/// An h2o handler with a pointer to the http_server::impl that it calls.
struct h2o_handler_with_owner {
    h2o_handler_t base;
    void* owner;
};

} // namespace

class http_server::impl {
public:
    impl(uv_loop_t* loop, const http_limits& limits, request_handler on_request,
         closed_handler on_closed)
        : loop_(loop), on_request_(std::move(on_request)), on_closed_(std::move(on_closed)) {
        h2o_config_init(&config_);
        config_.max_request_entity_size = limits.max_body_bytes;
        config_.http1.req_timeout = static_cast<std::uint64_t>(limits.request_timeout.count());
        config_.http2.idle_timeout = static_cast<std::uint64_t>(limits.request_timeout.count());
        config_.server_name = h2o_iovec_init(H2O_STRLIT("trefoil"));
        auto* host =
            h2o_config_register_host(&config_, h2o_iovec_init(H2O_STRLIT("default")), 65535);
        auto* path = h2o_config_register_path(host, "/", 0);
        auto* handler = reinterpret_cast<h2o_handler_with_owner*>(
            h2o_create_handler(path, sizeof(h2o_handler_with_owner)));
        handler->base.on_req = [](h2o_handler_t* self, h2o_req_t* req) {
            static_cast<impl*>(reinterpret_cast<h2o_handler_with_owner*>(self)->owner)
                ->on_h2o_request(req);
            return 0;
        };
        handler->owner = this;
        h2o_context_init(&context_, loop_, &config_);
        accept_.ctx = &context_;
        accept_.hosts = config_.hosts;
    }

    absl::Status open(const endpoint& listen_address) {
        sockaddr_storage address{};
        listener_ = new uv_tcp_t;
        uv_tcp_init(loop_, listener_);
        listener_->data = this;
        int result = http1::to_sockaddr(listen_address, address) == 0 ? UV_EINVAL : 0;
        if (result == 0) {
            result = uv_tcp_bind(listener_, reinterpret_cast<sockaddr*>(&address), 0);
        }
        if (result == 0) {
            result = uv_listen(reinterpret_cast<uv_stream_t*>(listener_), listen_backlog,
                               [](uv_stream_t* stream, int status) {
                                   static_cast<impl*>(stream->data)->on_connection(status);
                               });
        }
        if (result != 0) {
            return make_error(
                http_failure::cannot_listen,
                fmt::format("{}: {}", to_string(listen_address), uv_strerror(result)));
        }
        return absl::OkStatus();
    }

    void stop_accepting() {
        if (listener_ == nullptr) {
            return;
        }
        uv_close(reinterpret_cast<uv_handle_t*>(listener_),
                 [](uv_handle_t* handle) { delete reinterpret_cast<uv_tcp_t*>(handle); });
        listener_ = nullptr;
        h2o_context_request_shutdown(&context_);
    }

    void respond(exchange_id exchange, const http_answer& answer) {
        const auto found = pending_.find(exchange);
        if (found == pending_.end()) {
            return;
        }
        auto* req = found->second.req;
        remove_pending(exchange);
        req->res.status = answer.status;
        req->res.reason = "";
        req->res.content_length = answer.body.size();
        for (const auto& field : answer.headers) {
            if (is_hop_by_hop(field.name)) {
                continue;
            }
            const auto name = h2o_strdup(&req->pool, field.name.data(), field.name.size());
            const auto value = h2o_strdup(&req->pool, field.value.data(), field.value.size());
            h2o_add_header_by_str(&req->pool, &req->res.headers, name.base, name.len, 1, nullptr,
                                  value.base, value.len);
        }
        static h2o_generator_t generator = {nullptr, nullptr};
        auto body = h2o_strdup(&req->pool, answer.body.data(), answer.body.size());
        h2o_start_response(req, &generator);
        h2o_send(req, &body, 1, H2O_SEND_STATE_FINAL);
    }

    std::size_t pending() const { return pending_.size(); }

private:
    struct pending_exchange {
        h2o_req_t* req = nullptr;
        disconnect_monitor* monitor = nullptr;
    };

    /// The handle must be the first member, so that its address is that of the structure.
    struct connection {
        uv_tcp_t tcp;
        impl* owner;
        h2o_socket_t* socket;
    };

    /// Allocated from the pool of a request, whose disposal calls on_disposed().
    struct exchange_guard {
        impl* owner;
        exchange_id exchange;
    };

    void on_connection(int status) {
        if (status != 0) {
            return;
        }
        auto* made = new connection{{}, this, nullptr};
        uv_tcp_init(loop_, &made->tcp);
        if (uv_accept(reinterpret_cast<uv_stream_t*>(listener_),
                      reinterpret_cast<uv_stream_t*>(&made->tcp)) != 0) {
            uv_close(reinterpret_cast<uv_handle_t*>(&made->tcp), free_connection);
            return;
        }
        uv_tcp_nodelay(&made->tcp, 1);
        made->socket =
            h2o_uv_socket_create(reinterpret_cast<uv_stream_t*>(&made->tcp), free_connection);
        connections_.emplace(made->socket, made);
        h2o_accept(&accept_, made->socket);
    }

    static void free_connection(uv_handle_t* handle) {
        auto* closed = reinterpret_cast<connection*>(handle);
        closed->owner->connections_.erase(closed->socket);
        delete closed;
    }

    void on_h2o_request(h2o_req_t* req) {
        const auto exchange = ++last_exchange_;
        auto* guard = static_cast<exchange_guard*>(
            h2o_mem_alloc_shared(&req->pool, sizeof(exchange_guard), [](void* memory) {
                auto* disposed = static_cast<exchange_guard*>(memory);
                disposed->owner->on_disposed(disposed->exchange);
            }));
        guard->owner = this;
        guard->exchange = exchange;
        pending_.emplace(exchange, pending_exchange{req, monitor_http1(req, exchange)});
        on_request_(exchange, read_request(*req));
    }

    disconnect_monitor* monitor_http1(h2o_req_t* req, exchange_id exchange) {
        constexpr int http2_version = 0x200;
        if (req->version >= http2_version) {
            return nullptr;
        }
        const int fd = duplicate_descriptor(req->conn->callbacks->get_socket(req->conn));
        if (fd < 0) {
            return nullptr;
        }
        return new disconnect_monitor(loop_, fd, [this, exchange] {
            if (pending_.contains(exchange)) {
                disconnected_.insert(exchange);
                on_closed_(exchange);
                close_connection(exchange);
            }
        });
    }

    /// Answers a request with status 503 to close its connection, because h2o closes a connection
    /// only once its request is answered.
    void close_connection(exchange_id exchange) {
        const auto found = pending_.find(exchange);
        if (found != pending_.end()) {
            constexpr int unavailable = 503;
            found->second.req->http1_is_persistent = 0;
            respond(exchange, {unavailable, {}, ""});
        }
    }

    int duplicate_descriptor(h2o_socket_t* socket) const {
        const auto found = connections_.find(socket);
        uv_os_fd_t fd = -1;
        if (found == connections_.end() ||
            uv_fileno(reinterpret_cast<uv_handle_t*>(&found->second->tcp), &fd) != 0) {
            return -1;
        }
        return ::dup(fd);
    }

    void on_disposed(exchange_id exchange) {
        const bool was_pending = pending_.contains(exchange);
        const bool was_notified = disconnected_.contains(exchange);
        remove_pending(exchange);
        if (was_pending && !was_notified) {
            on_closed_(exchange);
        }
    }

    /// Removes a request from the pending ones and stops watching its connection.
    void remove_pending(exchange_id exchange) {
        const auto found = pending_.find(exchange);
        if (found != pending_.end()) {
            if (found->second.monitor != nullptr) {
                found->second.monitor->close();
            }
            pending_.erase(found);
        }
        disconnected_.erase(exchange);
    }

    static http_request read_request(const h2o_req_t& req) {
        http_request request;
        request.method = to_view(req.method);
        request.path = to_view(req.path);
        request.service = service_name(std::string(to_view(req.authority)));
        request.body = to_view(req.entity);
        for (std::size_t i = 0; i < req.headers.size; ++i) {
            const auto& field = req.headers.entries[i];
            std::string name(to_view(*field.name));
            if (name == "idempotency-key") {
                request.idempotency_key = to_view(field.value);
            }
            if (!is_hop_by_hop(name)) {
                request.headers.push_back({std::move(name), std::string(to_view(field.value))});
            }
        }
        sockaddr_storage address{};
        if (req.conn->callbacks->get_peername(req.conn, reinterpret_cast<sockaddr*>(&address)) >
            0) {
            char text[NI_MAXHOST] = "";
            getnameinfo(reinterpret_cast<sockaddr*>(&address), sizeof(address), text, sizeof(text),
                        nullptr, 0, NI_NUMERICHOST);
            request.caller = text;
        }
        return request;
    }

    uv_loop_t* loop_;
    request_handler on_request_;
    closed_handler on_closed_;
    h2o_globalconf_t config_{};
    h2o_context_t context_{};
    h2o_accept_ctx_t accept_{};
    uv_tcp_t* listener_ = nullptr;
    exchange_id last_exchange_ = 0;
    std::unordered_map<exchange_id, pending_exchange> pending_;
    /// Pending requests whose client has disconnected and whose owner was notified.
    std::set<exchange_id> disconnected_;
    std::unordered_map<h2o_socket_t*, connection*> connections_;
};

absl::StatusCode status_code(http_failure) {
    return absl::StatusCode::kUnavailable;
}
std::string_view name_of(http_failure) {
    return "cannot_listen";
}

http_server::http_server(std::unique_ptr<impl> made) : impl_(std::move(made)) {}

http_server::~http_server() {
    impl_->stop_accepting();
    // Deliberately leaked: open connections of h2o keep pointers into the context until the process
    // ends.
    static_cast<void>(impl_.release());
}

absl::StatusOr<std::unique_ptr<http_server>>
http_server::listen(uv_loop_s* loop, const endpoint& listen_address, const http_limits& limits,
                    request_handler on_request, closed_handler on_closed) {
    auto made = std::make_unique<impl>(loop, limits, std::move(on_request), std::move(on_closed));
    const auto opened = made->open(listen_address);
    std::unique_ptr<http_server> server(new http_server(std::move(made)));
    if (!opened.ok()) {
        return opened;
    }
    return server;
}

void http_server::respond(exchange_id exchange, const http_answer& answer) {
    impl_->respond(exchange, answer);
}
void http_server::stop_accepting() {
    impl_->stop_accepting();
}
std::size_t http_server::pending() const {
    return impl_->pending();
}

} // namespace trefoil
