// Peers that send raw bytes over the loopback interface, for tests of the client and the server.
#pragma once

#include <doctest/doctest.h>

#include <array>
#include <chrono>
#include <csignal>
#include <functional>
#include <linux/filter.h>
#include <memory>
#include <netinet/in.h>
#include <string>
#include <sys/socket.h>
#include <trefoil/base/overloaded.hpp>
#include <trefoil/http1/client.hpp>
#include <trefoil/http1/header_rules.hpp>
#include <trefoil/http1/server.hpp>
#include <trefoil/http1/tcp_stream.hpp>
#include <uv.h>
#include <vector>

namespace trefoil::http1 {

/// An event loop that runs until a condition holds or five seconds have elapsed.
struct test_loop {
    uv_loop_t loop{};

    test_loop() { uv_loop_init(&loop); }
    ~test_loop() {
        uv_run(&loop, UV_RUN_DEFAULT);
        uv_loop_close(&loop);
    }

    bool run_until(const std::function<bool()>& condition) {
        uv_timer_t timer;
        uv_timer_init(&loop, &timer);
        uv_timer_start(
            &timer, [](uv_timer_t*) {}, 1, 1);
        const auto end = uv_hrtime() + 5'000'000'000ULL;
        while (!condition() && uv_hrtime() < end) {
            uv_run(&loop, UV_RUN_ONCE);
        }
        uv_close(reinterpret_cast<uv_handle_t*>(&timer), nullptr);
        uv_run(&loop, UV_RUN_NOWAIT);
        return condition();
    }
};

/// Returns a TCP port of the loopback address that is currently free.
inline std::uint16_t free_port() {
    const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    REQUIRE(bind(socket, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0);
    socklen_t length = sizeof(address);
    getsockname(socket, reinterpret_cast<sockaddr*>(&address), &length);
    close(socket);
    return ntohs(address.sin_port);
}

/// Listens on a port of the loopback address. `owner` becomes the data of the listener.
inline void listen_on_loopback(uv_loop_t* loop, uv_tcp_t& listener, std::uint16_t port, void* owner,
                               uv_connection_cb on_connection) {
    uv_tcp_init(loop, &listener);
    listener.data = owner;
    sockaddr_in address{};
    uv_ip4_addr("127.0.0.1", port, &address);
    uv_tcp_bind(&listener, reinterpret_cast<sockaddr*>(&address), 0);
    uv_listen(reinterpret_cast<uv_stream_t*>(&listener), 16, on_connection);
}

/// A server that answers the n-th request with the n-th of the given texts, and all further
/// requests with the last one.
class raw_target {
public:
    raw_target(uv_loop_t* loop, std::vector<std::string> answers)
        : answers_(std::move(answers)), port_(free_port()) {
        listen_on_loopback(loop, listener_, port_, this, [](uv_stream_t* stream, int) {
            static_cast<raw_target*>(stream->data)->accept(stream);
        });
    }
    ~raw_target() { uv_close(reinterpret_cast<uv_handle_t*>(&listener_), nullptr); }

    endpoint listen_address() const { return {"127.0.0.1", port_}; }

    /// Reads nothing more from the present connections, so that data is no longer acknowledged.
    void stop_reading() {
        for (const auto& stream : streams_) {
            stream->pause_reading();
        }
    }

    void continue_reading() {
        for (const auto& stream : streams_) {
            stream->resume_reading();
        }
    }

    /// What happens to the connection after a response.
    enum class after { keep, close, reset };
    after after_answer = after::keep;
    int connections = 0;
    int requests = 0;
    /// Connections that the client closed or reset.
    int closed_connections = 0;

private:
    void accept(uv_stream_t* stream) {
        ++connections;
        const auto index = streams_.size();
        streams_.push_back(
            tcp_stream::accept(stream->loop, stream,
                               {{},
                                [this, index](std::string_view bytes) { read(index, bytes); },
                                [this](close_reason) { ++closed_connections; },
                                {}}));
    }

    void read(std::size_t index, std::string_view bytes) {
        if (bytes.find("\r\n\r\n") == std::string_view::npos) {
            return;
        }
        const auto next = static_cast<std::size_t>(requests++);
        streams_[index]->write(answers_[std::min(next, answers_.size() - 1)]);
        if (after_answer == after::close) {
            streams_[index]->close_when_drained();
        } else if (after_answer == after::reset) {
            streams_[index]->reset();
        }
    }

    std::vector<std::string> answers_;
    std::uint16_t port_;
    uv_tcp_t listener_{};
    std::vector<std::unique_ptr<tcp_stream>> streams_;
};

/// A server that answers each request with a text followed by endless repetitions of another.
class endless_target {
public:
    endless_target(uv_loop_t* loop, std::string start, const std::string& repeated)
        : start_(std::move(start)), port_(free_port()) {
        // Writing to a connection that the client has closed must not end the test.
        std::signal(SIGPIPE, SIG_IGN);
        while (piece_.size() < 65536) {
            piece_ += repeated;
        }
        listen_on_loopback(loop, listener_, port_, this, [](uv_stream_t* stream, int) {
            static_cast<endless_target*>(stream->data)->accept(stream);
        });
    }
    ~endless_target() { uv_close(reinterpret_cast<uv_handle_t*>(&listener_), nullptr); }

    endpoint listen_address() const { return {"127.0.0.1", port_}; }
    bool is_closed() const { return is_closed_; }

private:
    void accept(uv_stream_t* stream) {
        stream_ = tcp_stream::accept(stream->loop, stream,
                                     {{},
                                      [this](std::string_view) {
                                          stream_->write(start_);
                                          write_more();
                                      },
                                      [this](close_reason) { is_closed_ = true; },
                                      [this] { write_more(); }});
    }

    /// Keeps the write buffer filled; called again whenever it is empty.
    void write_more() {
        do {
            stream_->write(piece_);
        } while (!is_closed_ && stream_->unsent_bytes() == 0);
    }

    std::string start_;
    std::string piece_;
    std::uint16_t port_;
    uv_tcp_t listener_{};
    std::unique_ptr<tcp_stream> stream_;
    bool is_closed_ = false;
};

/// The response or the failure of one exchange.
struct exchange_record {
    int status = 0;
    std::string body;
    bool is_complete = false;
    bool has_failed = false;
    exchange_failure failure = exchange_failure::not_sent;
    /// If set, the exchange is paused when a part of the body arrives.
    bool pauses = false;
    std::unique_ptr<exchange> handle;

    bool is_finished() const { return is_complete || has_failed; }
};

/// Starts a GET request. With an `id`, responses with another one are not expected.
inline void start_request(client& sender, const endpoint& to, exchange_record& record,
                          const std::string& id = "") {
    request_head head;
    head.method = "GET";
    head.target = "/";
    exchange_options options;
    if (!id.empty()) {
        options.identity = response_identity{"id", id};
    }
    record.handle = sender.start(to, head, {}, true, options, [&record](exchange_event event) {
        std::visit(overloaded{[&](const response_head& answer) { record.status = answer.status; },
                              [&](const body_piece& piece) {
                                  record.body += piece.bytes;
                                  if (record.pauses) {
                                      record.handle->pause();
                                  }
                              },
                              [&](const message_end&) { record.is_complete = true; },
                              [&](exchange_failure reported_failure) {
                                  record.has_failed = true;
                                  record.failure = reported_failure;
                              }},
                   event);
    });
}

inline std::string ok_response(const std::string& id, const std::string& body) {
    return "HTTP/1.1 200 OK\r\nid: " + id + "\r\nContent-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
}

/// A client that sends raw bytes and collects the bytes received.
struct raw_client {
    std::unique_ptr<tcp_stream> stream;
    std::string received;
    bool is_ended = false;

    raw_client(uv_loop_t* loop, const endpoint& to) {
        stream = tcp_stream::connect(loop, to,
                                     {{},
                                      [this](std::string_view bytes) { received += bytes; },
                                      [this](close_reason) { is_ended = true; },
                                      {}});
    }
};

/// A server that collects its requests and leaves the responses to the test.
struct test_server {
    std::vector<std::shared_ptr<served_request>> requests;
    int closed_requests = 0;
    std::vector<cut_answers> cuts;
    std::unique_ptr<server> listener;
    endpoint listen_address{"127.0.0.1", free_port()};

    explicit test_server(uv_loop_t* loop, server_limits limits = {}) {
        auto made = server::listen(
            loop, listen_address, limits, [this](std::shared_ptr<served_request> incoming) {
                incoming->set_handlers({{}, [this] { ++closed_requests; }, {}});
                requests.push_back(std::move(incoming));
            });
        REQUIRE(made.ok());
        listener = std::move(*made);
        listener->set_cut_handler([this](const cut_answers& cut) { cuts.push_back(cut); });
    }

    void answer(std::size_t index, const std::string& body) {
        response_head head;
        head.status = 200;
        head.reason = "OK";
        requests[index]->respond(head, body);
    }
};

} // namespace trefoil::http1
