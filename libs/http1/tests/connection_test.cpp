// Tests of the client and the server over the loopback interface, each against a peer that sends
// raw bytes.
#include <doctest/doctest.h>

#include <array>
#include <chrono>
#include <csignal>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <linux/filter.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <uv.h>

#include <trefoil/base/overloaded.hpp>
#include <trefoil/http1/client.hpp>
#include <trefoil/http1/header_rules.hpp>
#include <trefoil/http1/server.hpp>
#include <trefoil/http1/tcp_stream.hpp>

using namespace trefoil;
using namespace trefoil::http1;

namespace {

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
std::uint16_t free_port() {
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
void listen_on_loopback(uv_loop_t* loop, uv_tcp_t& listener, std::uint16_t port, void* owner,
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

/// Starts a GET request. With an `id`, only a response with this id field is expected.
void start_request(client& sender, const endpoint& to, exchange_record& record,
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

std::string ok_response(const std::string& id, const std::string& body) {
    return "HTTP/1.1 200 OK\r\nid: " + id + "\r\nContent-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
}

} // namespace

TEST_CASE("a connection is reused after a complete response") {
    test_loop event_loop;
    raw_target target(&event_loop.loop, {ok_response("1", "a"), ok_response("2", "b")});
    client sender(&event_loop.loop, {});
    for (const auto* id : {"1", "2"}) {
        exchange_record record;
        start_request(sender, target.listen_address(), record, id);
        REQUIRE(event_loop.run_until([&] { return record.is_finished(); }));
        CHECK(record.is_complete);
    }
    CHECK(target.connections == 1);
}

TEST_CASE("an exchange that is paused at its end does not stop the next one of its connection") {
    test_loop event_loop;
    raw_target target(&event_loop.loop, {ok_response("1", "a"), ok_response("2", "b")});
    client sender(&event_loop.loop, {});
    for (const auto* id : {"1", "2"}) {
        exchange_record record;
        record.pauses = true;
        start_request(sender, target.listen_address(), record, id);
        REQUIRE(event_loop.run_until([&] { return record.is_finished(); }));
        CHECK(record.is_complete);
    }
    CHECK(target.connections == 1);
}

TEST_CASE("a response to an earlier request is discarded and the expected one is accepted") {
    test_loop event_loop;
    raw_target target(&event_loop.loop,
                      {ok_response("0", "late") + ok_response("1", "mine"), ok_response("2", "b")});
    client sender(&event_loop.loop, {});
    exchange_record first;
    start_request(sender, target.listen_address(), first, "1");
    REQUIRE(event_loop.run_until([&] { return first.is_finished(); }));
    CHECK(first.body == "mine");
    exchange_record second;
    start_request(sender, target.listen_address(), second, "2");
    REQUIRE(event_loop.run_until([&] { return second.is_finished(); }));
    CHECK(second.body == "b");
    CHECK(target.connections == 2);
}

TEST_CASE("surplus bytes after an answer end the connection") {
    test_loop event_loop;
    raw_target target(&event_loop.loop,
                      {ok_response("1", "a") + ok_response("1", "again"), ok_response("2", "b")});
    client sender(&event_loop.loop, {});
    exchange_record first;
    start_request(sender, target.listen_address(), first, "1");
    REQUIRE(event_loop.run_until([&] { return first.is_finished(); }));
    CHECK(first.body == "a");
    exchange_record second;
    start_request(sender, target.listen_address(), second, "2");
    REQUIRE(event_loop.run_until([&] { return second.is_finished(); }));
    CHECK(second.body == "b");
    CHECK(target.connections == 2);
}

TEST_CASE("a response without a length is complete if its connection is closed") {
    test_loop event_loop;
    raw_target target(&event_loop.loop, {"HTTP/1.1 200 OK\r\n\r\nabc"});
    target.after_answer = raw_target::after::close;
    client sender(&event_loop.loop, {});
    exchange_record record;
    start_request(sender, target.listen_address(), record);
    REQUIRE(event_loop.run_until([&] { return record.is_finished(); }));
    CHECK(record.is_complete);
    CHECK(record.body == "abc");
}

TEST_CASE("a response without a length is incomplete if its connection is reset") {
    test_loop event_loop;
    raw_target target(&event_loop.loop, {"HTTP/1.1 200 OK\r\n\r\nabc"});
    target.after_answer = raw_target::after::reset;
    client sender(&event_loop.loop, {});
    exchange_record record;
    start_request(sender, target.listen_address(), record);
    REQUIRE(event_loop.run_until([&] { return record.is_finished(); }));
    CHECK_FALSE(record.is_complete);
    CHECK(record.has_failed);
}

TEST_CASE("an answer that ends within its head fails, however its connection ends") {
    const auto answer = ok_response("7", "abc");
    const auto head_size = answer.find("\r\n\r\n") + 4;
    for (const auto end : {raw_target::after::close, raw_target::after::reset}) {
        for (std::size_t length = 1; length < head_size; ++length) {
            test_loop event_loop;
            raw_target target(&event_loop.loop, {answer.substr(0, length)});
            target.after_answer = end;
            client sender(&event_loop.loop, {});
            exchange_record record;
            start_request(sender, target.listen_address(), record, "7");
            REQUIRE(event_loop.run_until([&] { return record.is_finished(); }));
            CHECK(record.has_failed);
            CHECK(record.status == 0);
            CHECK(record.failure != exchange_failure::not_sent);
        }
    }
}

TEST_CASE("bytes without an end that are no answer fail and close the connection") {
    struct endless_case {
        std::string name;
        std::string start;
        std::string repeated;
    };
    const std::vector<endless_case> cases = {
        {"junk", "", "junk "},
        {"blank lines", "", "\r\n"},
        {"field value", "HTTP/1.1 200 OK\r\nx: ", "x"},
        {"field name", "HTTP/1.1 200 OK\r\n", "x"},
        {"fields", "HTTP/1.1 200 OK\r\n", "x: y\r\n"},
        {"status text", "HTTP/1.1 200 ", "x"},
        {"interim answers", "", "HTTP/1.1 100 Continue\r\n\r\n"},
        {"interim fields", "HTTP/1.1 100 Continue\r\n", "x: y\r\n"},
        {"answers to others", "", ok_response("0", "late")},
        {"body of another's answer", "HTTP/1.1 200 OK\r\nid: 0\r\n\r\n", "x"},
        {"chunk extension",
         "HTTP/1.1 200 OK\r\nid: 1\r\nTransfer-Encoding: chunked\r\n\r\n5;x=", "x"},
        {"chunk length", "HTTP/1.1 200 OK\r\nid: 1\r\nTransfer-Encoding: chunked\r\n\r\n", "0"},
        {"trailers", "HTTP/1.1 200 OK\r\nid: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
         "x: y\r\n"},
    };
    for (const auto& one : cases) {
        CAPTURE(one.name);
        test_loop event_loop;
        endless_target target(&event_loop.loop, one.start, one.repeated);
        client sender(&event_loop.loop, {});
        exchange_record record;
        start_request(sender, target.listen_address(), record, "1");
        CHECK(event_loop.run_until([&] { return record.is_finished(); }));
        CHECK(record.has_failed);
        CHECK(record.failure == exchange_failure::bad_answer);
        record.handle.reset();
        CHECK(event_loop.run_until([&] { return target.is_closed(); }));
    }
}

TEST_CASE("an answer without an end is read no faster than its receiver takes it") {
    test_loop event_loop;
    endless_target target(&event_loop.loop, "HTTP/1.1 200 OK\r\nid: 1\r\n\r\n", "x");
    client sender(&event_loop.loop, {});
    exchange_record record;
    start_request(sender, target.listen_address(), record, "1");
    REQUIRE(event_loop.run_until([&] { return !record.body.empty(); }));
    record.handle->pause();
    const auto before = record.body.size();
    const auto end = uv_hrtime() + 200'000'000ULL;
    event_loop.run_until([&] { return uv_hrtime() > end; });
    CHECK(record.body.size() == before);
    record.handle.reset();
    CHECK(event_loop.run_until([&] { return target.is_closed(); }));
}

TEST_CASE("a connection whose answer ended while its reading was paused can be used again") {
    test_loop event_loop;
    raw_target target(&event_loop.loop, {ok_response("1", "a"), ok_response("2", "b")});
    client sender(&event_loop.loop, {});
    request_head head;
    head.method = "GET";
    head.target = "/";
    bool is_complete = false;
    std::unique_ptr<exchange> first;
    first =
        sender.start(target.listen_address(), head, {}, true, {}, [&](const exchange_event& event) {
            if (std::holds_alternative<body_piece>(event)) {
                first->pause();
            }
            is_complete = std::holds_alternative<message_end>(event);
        });
    REQUIRE(event_loop.run_until([&] { return is_complete; }));
    exchange_record second;
    start_request(sender, target.listen_address(), second);
    CHECK(event_loop.run_until([&] { return second.is_finished(); }));
    CHECK(second.body == "b");
    CHECK(target.connections == 1);
}

namespace {

/// A client whose requests can be left without an acknowledgement. Each target gets more
/// connections than one request needs.
struct silence_fixture {
    static constexpr std::size_t target_count = 3;
    static constexpr std::size_t connections_per_target = 2;

    test_loop event_loop;
    std::vector<std::unique_ptr<raw_target>> targets;
    client sender{&event_loop.loop, {}};

    silence_fixture() {
        for (std::size_t i = 0; i < target_count; ++i) {
            targets.push_back(std::make_unique<raw_target>(
                &event_loop.loop, std::vector<std::string>{ok_response("7", "abc")}));
            std::array<exchange_record, connections_per_target> records;
            for (auto& record : records) {
                start_request(sender, targets[i]->listen_address(), record);
            }
            for (auto& record : records) {
                REQUIRE(event_loop.run_until([&] { return record.is_complete; }));
            }
        }
    }

    /// Sends more than the target's socket buffers hold and returns the time until the failure.
    std::chrono::nanoseconds send_unacknowledged(raw_target& target) {
        target.stop_reading();
        request_head head;
        head.method = "POST";
        head.target = "/";
        head.framing = body_framing::length;
        const std::string body(32U << 20U, 'x');
        head.content_length = body.size();
        exchange_options options;
        options.acknowledgement_timeout = std::chrono::milliseconds(300);
        bool has_failed = false;
        const auto started = uv_hrtime();
        const auto exchange = sender.start(
            target.listen_address(), head, body, true, options, [&](const exchange_event& event) {
                has_failed = std::holds_alternative<exchange_failure>(event);
            });
        REQUIRE(event_loop.run_until([&] { return has_failed; }));
        return std::chrono::nanoseconds(uv_hrtime() - started);
    }

    /// True if a request to the target goes over a connection that was opened before.
    bool reuses_connection(const raw_target& target) {
        const auto before = sender.counts().connections_opened;
        exchange_record record;
        start_request(sender, target.listen_address(), record);
        return sender.counts().connections_opened == before;
    }
};

} // namespace

TEST_CASE("a request without an acknowledgement fails after its own time limit") {
    silence_fixture site;
    CHECK(site.send_unacknowledged(*site.targets[0]) < std::chrono::milliseconds(1500));
}

TEST_CASE("idle connections are not used after a request beside them had no acknowledgement") {
    silence_fixture site;
    site.send_unacknowledged(*site.targets[0]);
    CHECK_FALSE(site.reuses_connection(*site.targets[0]));
    CHECK(site.reuses_connection(*site.targets[1]));
}

TEST_CASE("no idle connection is used after requests to two targets had no acknowledgement") {
    silence_fixture site;
    site.send_unacknowledged(*site.targets[0]);
    site.send_unacknowledged(*site.targets[1]);
    CHECK_FALSE(site.reuses_connection(*site.targets[1]));
    CHECK_FALSE(site.reuses_connection(*site.targets[2]));
}

TEST_CASE("a request without a listener fails as not sent") {
    test_loop event_loop;
    client sender(&event_loop.loop, {});
    exchange_record record;
    start_request(sender, {"127.0.0.1", free_port()}, record);
    REQUIRE(event_loop.run_until([&] { return record.is_finished(); }));
    CHECK(record.failure == exchange_failure::not_sent);
}

TEST_CASE("destroying an exchange before its end closes its connection") {
    test_loop event_loop;
    raw_target target(&event_loop.loop, {""});
    client sender(&event_loop.loop, {});
    exchange_record record;
    start_request(sender, target.listen_address(), record);
    REQUIRE(event_loop.run_until([&] { return target.requests == 1; }));
    record.handle.reset();
    CHECK(event_loop.run_until([&] { return target.closed_connections == 1; }));
}

namespace {

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
    }

    void answer(std::size_t index, const std::string& body) {
        response_head head;
        head.status = 200;
        head.reason = "OK";
        requests[index]->respond(head, body);
    }
};

} // namespace

TEST_CASE("pipelined requests are handed on at once and answered in their order") {
    test_loop event_loop;
    test_server local_server(&event_loop.loop);
    raw_client sender(&event_loop.loop, local_server.listen_address);
    sender.stream->write("GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\n");
    REQUIRE(event_loop.run_until([&] { return local_server.requests.size() == 2; }));
    local_server.answer(1, "second");
    local_server.answer(0, "first");
    REQUIRE(
        event_loop.run_until([&] { return sender.received.find("second") != std::string::npos; }));
    CHECK(sender.received.find("first") < sender.received.find("second"));
}

TEST_CASE("the owner of an answer behind another one is told when its waiting bytes are sent") {
    test_loop event_loop;
    test_server local_server(&event_loop.loop);
    raw_client sender(&event_loop.loop, local_server.listen_address);
    sender.stream->write("GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\n");
    REQUIRE(event_loop.run_until([&] { return local_server.requests.size() == 2; }));
    bool is_writable = false;
    local_server.requests[1]->set_handlers({{}, {}, [&] { is_writable = true; }});
    response_head head;
    head.status = 200;
    head.reason = "OK";
    head.framing = body_framing::connection_close;
    local_server.requests[1]->begin(head);
    local_server.requests[1]->write("second");
    CHECK(local_server.requests[1]->unsent_bytes() > 0);
    CHECK_FALSE(is_writable);
    local_server.answer(0, "first");
    REQUIRE(
        event_loop.run_until([&] { return sender.received.find("second") != std::string::npos; }));
    CHECK(local_server.requests[1]->unsent_bytes() == 0);
    CHECK(is_writable);
}

TEST_CASE("a client that goes away is noticed while its request is worked on") {
    test_loop event_loop;
    test_server local_server(&event_loop.loop);
    raw_client sender(&event_loop.loop, local_server.listen_address);
    sender.stream->write("GET /1 HTTP/1.1\r\n\r\n");
    REQUIRE(event_loop.run_until([&] { return local_server.requests.size() == 1; }));
    sender.stream.reset();
    CHECK(event_loop.run_until([&] { return local_server.closed_requests == 1; }));
}

TEST_CASE("an answer given before the body is read leaves the next request in place") {
    test_loop event_loop;
    test_server local_server(&event_loop.loop);
    raw_client sender(&event_loop.loop, local_server.listen_address);
    sender.stream->write("POST /1 HTTP/1.1\r\nContent-Length: 6\r\n\r\nabc");
    REQUIRE(event_loop.run_until([&] { return local_server.requests.size() == 1; }));
    local_server.answer(0, "early");
    sender.stream->write("defGET /2 HTTP/1.1\r\n\r\n");
    REQUIRE(event_loop.run_until([&] { return local_server.requests.size() == 2; }));
    CHECK(local_server.requests[1]->head().target == "/2");
}

TEST_CASE(
    "a response that may have no body is sent without one, so that the next one is in place") {
    struct form {
        std::string method;
        int status;
        body_framing framing;
        bool is_streamed;
        std::string fields;
    };
    const std::string length = "content-length: 3\r\n";
    const std::vector<form> forms = {
        {"HEAD", 200, body_framing::length, true, length},
        {"HEAD", 200, body_framing::chunked, true, ""},
        {"HEAD", 200, body_framing::connection_close, true, ""},
        {"HEAD", 200, body_framing::length, false, length},
        {"HEAD", 404, body_framing::none, false, length},
        {"HEAD", 304, body_framing::length, true, length},
        {"GET", 304, body_framing::length, true, length},
        {"GET", 304, body_framing::chunked, true, ""},
        {"GET", 304, body_framing::length, false, length},
        {"GET", 204, body_framing::length, true, ""},
        {"GET", 204, body_framing::connection_close, true, ""},
        {"GET", 204, body_framing::length, false, ""},
    };
    for (const auto& one : forms) {
        CAPTURE(one.method);
        CAPTURE(one.status);
        CAPTURE(static_cast<int>(one.framing));
        CAPTURE(one.is_streamed);
        test_loop event_loop;
        test_server local_server(&event_loop.loop);
        raw_client sender(&event_loop.loop, local_server.listen_address);
        sender.stream->write(one.method + " /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\n");
        REQUIRE(event_loop.run_until([&] { return local_server.requests.size() == 2; }));
        response_head head;
        head.status = one.status;
        head.reason = "-";
        head.framing = one.framing;
        head.content_length = 3;
        auto& first = *local_server.requests[0];
        if (one.is_streamed) {
            first.begin(head);
            first.write("abc");
            first.finish();
        } else {
            first.respond(head, "abc");
        }
        local_server.answer(1, "second");
        REQUIRE(event_loop.run_until(
            [&] { return sender.received.find("second") != std::string::npos; }));
        CHECK(sender.received == "HTTP/1.1 " + std::to_string(one.status) + " -\r\n" + one.fields +
                                     "\r\nHTTP/1.1 200 OK\r\ncontent-length: 6\r\n\r\nsecond");
    }
}

TEST_CASE("an aborted streamed response lacks its last chunk") {
    test_loop event_loop;
    test_server local_server(&event_loop.loop);
    raw_client sender(&event_loop.loop, local_server.listen_address);
    sender.stream->write("GET /1 HTTP/1.1\r\n\r\n");
    REQUIRE(event_loop.run_until([&] { return local_server.requests.size() == 1; }));
    response_head head;
    head.status = 200;
    head.reason = "OK";
    head.framing = body_framing::connection_close;
    local_server.requests[0]->begin(head);
    local_server.requests[0]->write("abc");
    REQUIRE(event_loop.run_until([&] { return sender.received.find("abc") != std::string::npos; }));
    local_server.requests[0]->abort();
    REQUIRE(event_loop.run_until([&] { return sender.is_ended; }));
    CHECK(sender.received.find("chunked") != std::string::npos);
    CHECK(sender.received.find("0\r\n\r\n") == std::string::npos);
}

TEST_CASE("an aborted answer closes its connection after the earlier answers") {
    for (const bool has_begun : {false, true}) {
        CAPTURE(has_begun);
        test_loop event_loop;
        test_server local_server(&event_loop.loop);
        raw_client sender(&event_loop.loop, local_server.listen_address);
        sender.stream->write("GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\n");
        REQUIRE(event_loop.run_until([&] { return local_server.requests.size() == 2; }));
        if (has_begun) {
            response_head head;
            head.status = 200;
            head.reason = "OK";
            head.framing = body_framing::connection_close;
            local_server.requests[1]->begin(head);
            local_server.requests[1]->write("second");
        }
        local_server.requests[1]->abort();
        CHECK(local_server.closed_requests == 0);
        const auto until = uv_hrtime() + 50'000'000ULL;
        event_loop.run_until([&] { return uv_hrtime() > until; });
        CHECK_FALSE(sender.is_ended);
        // Nothing more is accepted, since it could not be answered.
        sender.stream->write("GET /3 HTTP/1.1\r\n\r\n");
        const auto later = uv_hrtime() + 50'000'000ULL;
        event_loop.run_until([&] { return uv_hrtime() > later; });
        CHECK(local_server.requests.size() == 2);
        local_server.answer(0, "first");
        REQUIRE(event_loop.run_until([&] { return sender.is_ended; }));
        CHECK(sender.received.find("first") != std::string::npos);
        CHECK(sender.received.find("0\r\n\r\n") == std::string::npos);
        CHECK(local_server.listener->pending() == 0);
    }
}

TEST_CASE("an aborted answer does not cut an earlier one that its client still reads") {
    test_loop event_loop;
    test_server local_server(&event_loop.loop);
    raw_client sender(&event_loop.loop, local_server.listen_address);
    sender.stream->write("GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\n");
    REQUIRE(event_loop.run_until([&] { return local_server.requests.size() == 2; }));
    sender.stream->pause_reading();
    const std::string body(64U << 20U, 'x');
    local_server.answer(0, body);
    REQUIRE(local_server.requests[1]->unsent_bytes() > 0);
    local_server.requests[1]->abort();
    sender.stream->resume_reading();
    REQUIRE(event_loop.run_until([&] { return sender.is_ended; }));
    CHECK(sender.received.size() > body.size());
}

TEST_CASE("a malformed request is refused after all earlier requests are answered") {
    test_loop event_loop;
    test_server local_server(&event_loop.loop);
    raw_client sender(&event_loop.loop, local_server.listen_address);
    sender.stream->write("GET /1 HTTP/1.1\r\n\r\nGET /2 HTTP/1.1\r\n\r\nno request\r\n\r\n");
    REQUIRE(event_loop.run_until([&] { return local_server.requests.size() == 2; }));
    local_server.answer(0, "first");
    local_server.answer(1, "second");
    REQUIRE(event_loop.run_until([&] { return sender.is_ended; }));
    const auto second = sender.received.find("second");
    REQUIRE(second != std::string::npos);
    CHECK(sender.received.find(" 400 ", second) != std::string::npos);
}

TEST_CASE("a malformed body closes its connection after the earlier answers") {
    test_loop event_loop;
    test_server local_server(&event_loop.loop);
    raw_client sender(&event_loop.loop, local_server.listen_address);
    sender.stream->write("GET /1 HTTP/1.1\r\n\r\nPOST /2 HTTP/1.1\r\n"
                         "Transfer-Encoding: chunked\r\n\r\n");
    REQUIRE(event_loop.run_until([&] { return local_server.requests.size() == 2; }));
    sender.stream->write("no chunk");
    // The request with the malformed body is given up at once.
    REQUIRE(event_loop.run_until([&] { return local_server.closed_requests > 0; }));
    CHECK(local_server.closed_requests == 1);
    CHECK_FALSE(sender.is_ended);
    local_server.answer(0, "first");
    REQUIRE(event_loop.run_until([&] { return sender.is_ended; }));
    CHECK(sender.received.ends_with("first"));
    CHECK(local_server.listener->pending() == 0);
}

TEST_CASE("a body above the bound is refused without being read") {
    test_loop event_loop;
    server_limits limits;
    limits.max_body_bytes = 10;
    test_server local_server(&event_loop.loop, limits);
    raw_client sender(&event_loop.loop, local_server.listen_address);
    sender.stream->write("POST /1 HTTP/1.1\r\nContent-Length: 11\r\n\r\n");
    REQUIRE(event_loop.run_until([&] { return sender.received.find("413") != std::string::npos; }));
    CHECK(local_server.requests.empty());
}

namespace {

/// More than all buffers between two sockets take.
constexpr std::size_t unbuffered_bytes = 24U << 20U;
/// Longer than a peer may be silent.
constexpr std::uint64_t longer_than_silence_ns = 3'500'000'000ULL;

void run_for(test_loop& event_loop, std::uint64_t time_ns) {
    const auto end = uv_hrtime() + time_ns;
    event_loop.run_until([&] { return uv_hrtime() >= end; });
}

/// A socket outside the event loop whose machine can be made unreachable.
class plain_peer {
public:
    explicit plain_peer(int socket) : socket_(socket) { REQUIRE(socket_ >= 0); }
    ~plain_peer() { close(socket_); }
    plain_peer(const plain_peer&) = delete;
    plain_peer& operator=(const plain_peer&) = delete;

    static int connect_to(const endpoint& to) {
        const int made = ::socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in address{};
        uv_ip4_addr(to.ip.c_str(), to.port, &address);
        REQUIRE(connect(made, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0);
        return made;
    }

    void write(const std::string& bytes) const {
        REQUIRE(send(socket_, bytes.data(), bytes.size(), MSG_NOSIGNAL) ==
                static_cast<ssize_t>(bytes.size()));
    }
    /// Drops everything that arrives from now on without an acknowledgement.
    void fall_silent() const {
        sock_filter drop{BPF_RET | BPF_K, 0, 0, 0};
        const sock_fprog program{1, &drop};
        REQUIRE(setsockopt(socket_, SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof(program)) == 0);
    }

private:
    int socket_;
};

/// A server with one open request of a plain peer.
struct plain_peer_fixture {
    test_loop event_loop;
    test_server local_server{&event_loop.loop};
    plain_peer peer{plain_peer::connect_to(local_server.listen_address)};

    plain_peer_fixture() {
        peer.write("GET /1 HTTP/1.1\r\n\r\n");
        REQUIRE(event_loop.run_until([&] { return local_server.requests.size() == 1; }));
    }

    void begin_answer(std::size_t bytes) {
        response_head head;
        head.status = 200;
        head.reason = "OK";
        head.framing = body_framing::connection_close;
        local_server.requests[0]->begin(head);
        local_server.requests[0]->write(std::string(bytes, 'x'));
    }
    /// Returns the time until the connection is closed, or five seconds if it is not.
    std::chrono::nanoseconds time_to_close() {
        const auto began = uv_hrtime();
        event_loop.run_until([&] { return local_server.closed_requests > 0; });
        return std::chrono::nanoseconds(uv_hrtime() - began);
    }
};

} // namespace

TEST_CASE("a client that reads slowly keeps its connection and gets its whole answer") {
    test_loop event_loop;
    test_server local_server(&event_loop.loop);
    raw_client sender(&event_loop.loop, local_server.listen_address);
    sender.stream->write("GET /1 HTTP/1.1\r\n\r\n");
    REQUIRE(event_loop.run_until([&] { return local_server.requests.size() == 1; }));
    sender.stream->pause_reading();
    local_server.answer(0, std::string(unbuffered_bytes, 'x'));
    run_for(event_loop, longer_than_silence_ns);
    sender.stream->resume_reading();
    CHECK(event_loop.run_until(
        [&] { return sender.is_ended || sender.received.size() > unbuffered_bytes; }));
    CHECK(sender.received.size() > unbuffered_bytes);
    CHECK_FALSE(sender.is_ended);
}

TEST_CASE("a client that reads slowly gets an answer that closes its connection") {
    test_loop event_loop;
    test_server local_server(&event_loop.loop);
    raw_client sender(&event_loop.loop, local_server.listen_address);
    sender.stream->write("GET /1 HTTP/1.1\r\nConnection: close\r\n\r\n");
    REQUIRE(event_loop.run_until([&] { return local_server.requests.size() == 1; }));
    sender.stream->pause_reading();
    local_server.answer(0, std::string(unbuffered_bytes, 'x'));
    run_for(event_loop, longer_than_silence_ns);
    sender.stream->resume_reading();
    CHECK(event_loop.run_until([&] { return sender.is_ended; }));
    CHECK(sender.received.size() > unbuffered_bytes);
}

TEST_CASE("a client that reads slowly is not taken for idle") {
    test_loop event_loop;
    server_limits limits;
    limits.idle_timeout = std::chrono::milliseconds(500);
    test_server local_server(&event_loop.loop, limits);
    raw_client sender(&event_loop.loop, local_server.listen_address);
    sender.stream->write("GET /1 HTTP/1.1\r\n\r\n");
    REQUIRE(event_loop.run_until([&] { return local_server.requests.size() == 1; }));
    sender.stream->pause_reading();
    local_server.answer(0, std::string(unbuffered_bytes, 'x'));
    for (int i = 0; i < 4; ++i) {
        run_for(event_loop, 200'000'000ULL);
        sender.stream->resume_reading();
        event_loop.run_until([&, before = sender.received.size()] {
            return sender.received.size() - before > 2U << 20U;
        });
        sender.stream->pause_reading();
        local_server.listener->close_timed_out_connections();
    }
    run_for(event_loop, 200'000'000ULL);
    sender.stream->resume_reading();
    CHECK(event_loop.run_until(
        [&] { return sender.is_ended || sender.received.size() > unbuffered_bytes; }));
    CHECK(sender.received.size() > unbuffered_bytes);
}

TEST_CASE("a target that reads a long body slowly keeps its connection") {
    test_loop event_loop;
    raw_target target(&event_loop.loop, {ok_response("1", "a"), ok_response("2", "b")});
    client sender(&event_loop.loop, {});
    exchange_record first;
    start_request(sender, target.listen_address(), first);
    REQUIRE(event_loop.run_until([&] { return first.is_complete; }));
    target.stop_reading();
    request_head head;
    head.method = "POST";
    head.target = "/";
    head.framing = body_framing::length;
    const std::string body(unbuffered_bytes, 'x');
    head.content_length = body.size();
    bool has_failed = false;
    const auto running = sender.start(
        target.listen_address(), head, body, true, {}, [&](const exchange_event& event) {
            has_failed = std::holds_alternative<exchange_failure>(event);
        });
    run_for(event_loop, longer_than_silence_ns);
    CHECK_FALSE(has_failed);
    target.continue_reading();
    CHECK(event_loop.run_until([&] { return has_failed || running->unsent_bytes() == 0; }));
    CHECK_FALSE(has_failed);
}

TEST_CASE("a client that falls silent in an answer is known after 2.5 s") {
    plain_peer_fixture site;
    site.peer.fall_silent();
    site.begin_answer(1000);
    CHECK(site.time_to_close() < std::chrono::milliseconds(3000));
}

TEST_CASE("a client that falls silent while its receive window is closed is known") {
    plain_peer_fixture site;
    site.begin_answer(unbuffered_bytes);
    run_for(site.event_loop, longer_than_silence_ns);
    CHECK(site.local_server.closed_requests == 0);
    site.peer.fall_silent();
    CHECK(site.time_to_close() < std::chrono::milliseconds(3300));
}

TEST_CASE("a client that falls silent while its request is worked on is known") {
    plain_peer_fixture site;
    site.peer.fall_silent();
    CHECK(site.time_to_close() < std::chrono::milliseconds(4000));
}

TEST_CASE("a target that falls silent fails a request after the request's own time limit") {
    test_loop event_loop;
    const auto port = free_port();
    const int listener = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    uv_ip4_addr("127.0.0.1", port, &address);
    REQUIRE(bind(listener, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0);
    REQUIRE(listen(listener, 1) == 0);
    client sender(&event_loop.loop, {});
    exchange_record first;
    start_request(sender, {"127.0.0.1", port}, first);
    const plain_peer target(accept(listener, nullptr, nullptr));
    close(listener);
    target.write(ok_response("1", "a"));
    REQUIRE(event_loop.run_until([&] { return first.is_complete; }));
    target.fall_silent();
    request_head head;
    head.method = "GET";
    head.target = "/";
    exchange_options options;
    options.acknowledgement_timeout = std::chrono::milliseconds(300);
    bool has_failed = false;
    const auto began = uv_hrtime();
    const auto second = sender.start(
        {"127.0.0.1", port}, head, {}, true, options, [&](const exchange_event& event) {
            has_failed = std::holds_alternative<exchange_failure>(event);
        });
    CHECK(event_loop.run_until([&] { return has_failed; }));
    CHECK(std::chrono::nanoseconds(uv_hrtime() - began) < std::chrono::milliseconds(1500));
    CHECK(sender.counts().connections_opened == 1);
}
