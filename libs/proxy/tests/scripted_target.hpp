// A target of a test that sends whatever bytes the test asks for, at any time.
#pragma once

#include <csignal>
#include <cstddef>
#include <functional>
#include <list>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include <uv.h>

#include <trefoil/http1/header_rules.hpp>
#include <trefoil/http1/loop_timer.hpp>
#include <trefoil/http1/message_parser.hpp>
#include <trefoil/http1/tcp_stream.hpp>

namespace trefoil {

/// A request as it reached the target.
struct scripted_request {
    std::string method;
    std::string id;
    /// Number of requests that reached the target before this one, on all connections.
    std::size_t number = 0;
    /// The connection that it came on; answers are sent there.
    std::size_t connection = 0;
};

/// Listens on an address and calls a handler for each whole request.
class scripted_target {
public:
    using request_handler = std::function<void(const scripted_request&)>;

    scripted_target(uv_loop_t* loop, const endpoint& where, request_handler on_request)
        : loop_(loop), on_request_(std::move(on_request)), listener_(new uv_tcp_t) {
        // It writes to connections that the other side may have reset.
        std::signal(SIGPIPE, SIG_IGN);
        uv_tcp_init(loop, listener_);
        listener_->data = this;
        sockaddr_in address{};
        uv_ip4_addr(where.ip.c_str(), where.port, &address);
        REQUIRE(uv_tcp_bind(listener_, reinterpret_cast<const sockaddr*>(&address), 0) == 0);
        REQUIRE(uv_listen(reinterpret_cast<uv_stream_t*>(listener_), 64, on_connection) == 0);
    }
    ~scripted_target() {
        uv_close(reinterpret_cast<uv_handle_t*>(listener_),
                 [](uv_handle_t* handle) { delete reinterpret_cast<uv_tcp_t*>(handle); });
    }
    scripted_target(const scripted_target&) = delete;
    scripted_target& operator=(const scripted_target&) = delete;

    /// Writes bytes to a connection. Does nothing if it has ended.
    void send(std::size_t connection, std::string bytes) {
        if (connections_[connection]->stream != nullptr) {
            connections_[connection]->stream->write(std::move(bytes));
        }
    }
    void send_after(duration delay, std::size_t connection, std::string bytes) {
        auto& timer = timers_.emplace_back();
        timer = std::make_unique<http1::loop_timer>(
            loop_, [this, connection, bytes = std::move(bytes)] { send(connection, bytes); });
        timer->start(delay);
    }
    /// False once the peer has closed or reset the connection, or close() has.
    bool is_open(std::size_t connection) const {
        return connections_[connection]->stream != nullptr;
    }
    void close(std::size_t connection) {
        if (auto stream = std::move(connections_[connection]->stream)) {
            stream->close_when_drained();
        }
    }

    std::size_t requests = 0;
    std::size_t connections() const { return connections_.size(); }

private:
    struct connection_state {
        std::unique_ptr<http1::tcp_stream> stream;
        http1::request_parser parser{16384};
        scripted_request current;
    };

    static void on_connection(uv_stream_t* listener, int) {
        auto* self = static_cast<scripted_target*>(listener->data);
        const auto index = self->connections_.size();
        auto& made = self->connections_.emplace_back(std::make_unique<connection_state>());
        made->current.connection = index;
        made->stream = http1::tcp_stream::accept(
            listener->loop, listener,
            {{},
             [self, index](std::string_view bytes) { self->read(index, bytes); },
             [self, index](http1::close_reason) { self->connections_[index]->stream.reset(); },
             {}});
    }

    void read(std::size_t index, std::string_view bytes) {
        std::vector<http1::request_event> events;
        connections_[index]->parser.feed(bytes, events);
        for (const auto& event : events) {
            auto& current = connections_[index]->current;
            if (const auto* head = std::get_if<http1::request_head>(&event)) {
                current.method = head->method;
                current.id = std::string(find_header(head->headers, "id"));
            } else if (std::holds_alternative<http1::message_end>(event)) {
                current.number = requests++;
                const auto copy = current;
                on_request_(copy);
            }
        }
    }

    uv_loop_t* loop_;
    request_handler on_request_;
    uv_tcp_t* listener_;
    std::vector<std::unique_ptr<connection_state>> connections_;
    std::list<std::unique_ptr<http1::loop_timer>> timers_;
};

} // namespace trefoil
