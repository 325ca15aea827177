#include <doctest/doctest.h>

#include <optional>

#include <arpa/inet.h>
#include <fmt/format.h>
#include <sys/socket.h>
#include <unistd.h>
#include <uv.h>

#include <trefoil/http/http_client.hpp>
#include <trefoil/http/http_server.hpp>
#include <trefoil/http1/header_rules.hpp>

using namespace trefoil;

namespace {

/// Returns a TCP port of the loopback address that is currently free.
std::uint16_t free_port() {
    const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    REQUIRE(::bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0);
    socklen_t length = sizeof(address);
    ::getsockname(fd, reinterpret_cast<sockaddr*>(&address), &length);
    ::close(fd);
    return ntohs(address.sin_port);
}

/// A server that answers the first data on each connection with fixed bytes and closes it.
class raw_server {
public:
    raw_server(uv_loop_t* loop, std::uint16_t port, std::string bytes) : bytes_(std::move(bytes)) {
        uv_tcp_init(loop, &listener_);
        listener_.data = this;
        sockaddr_in address{};
        uv_ip4_addr("127.0.0.1", port, &address);
        uv_tcp_bind(&listener_, reinterpret_cast<sockaddr*>(&address), 0);
        uv_listen(reinterpret_cast<uv_stream_t*>(&listener_), 16, on_connection);
    }

private:
    static void on_connection(uv_stream_t* stream, int) {
        auto* self = static_cast<raw_server*>(stream->data);
        auto* connection = new uv_tcp_t;
        uv_tcp_init(stream->loop, connection);
        uv_accept(stream, reinterpret_cast<uv_stream_t*>(connection));
        connection->data = self;
        uv_read_start(
            reinterpret_cast<uv_stream_t*>(connection),
            [](uv_handle_t*, size_t, uv_buf_t* buffer) {
                static char read_buffer[65536];
                *buffer = uv_buf_init(read_buffer, sizeof(read_buffer));
            },
            [](uv_stream_t* from, ssize_t size, const uv_buf_t*) {
                if (size > 0) {
                    auto* owner = static_cast<raw_server*>(from->data);
                    auto buffer = uv_buf_init(owner->bytes_.data(),
                                              static_cast<unsigned>(owner->bytes_.size()));
                    uv_try_write(from, &buffer, 1);
                }
                uv_read_stop(from);
                uv_close(reinterpret_cast<uv_handle_t*>(from),
                         [](uv_handle_t* handle) { delete reinterpret_cast<uv_tcp_t*>(handle); });
            });
    }

    uv_tcp_t listener_{};
    std::string bytes_;
};

http_request make_request(std::string body) {
    return {"POST", "/x", service_name("echo"), {{"x-test", "1"}}, std::move(body), "", ""};
}

/// Sends a request and runs the loop until its result is there.
std::optional<exchange_result> run_exchange(uv_loop_t* loop, http_client& client,
                                            std::uint16_t port, const http_request& request,
                                            exchange_limits limits = {}) {
    std::optional<exchange_result> result;
    client.send({"127.0.0.1", port}, request, limits,
                [&](exchange_result r) { result = std::move(r); });
    while (!result) {
        uv_run(loop, UV_RUN_ONCE);
    }
    return result;
}

/// Returns what the client reports of a response of these bytes.
exchange_result result_of_raw_answer(const std::string& bytes) {
    auto* loop = new uv_loop_t;
    uv_loop_init(loop);
    const auto port = free_port();
    auto* server = new raw_server(loop, port, bytes);
    http_client client(loop);
    const auto result = run_exchange(loop, client, port, make_request("x"));
    static_cast<void>(server);
    return *result;
}

exchange_failure failure_of_raw_answer(const std::string& bytes) {
    const auto result = result_of_raw_answer(bytes);
    REQUIRE(std::holds_alternative<exchange_failure>(result));
    return std::get<exchange_failure>(result);
}

bool is_refused(const std::string& bytes) {
    return std::holds_alternative<exchange_failure>(result_of_raw_answer(bytes));
}

} // namespace

TEST_CASE("requests and answers pass whole, bodies of any size, connections reused") {
    auto* loop = new uv_loop_t;
    uv_loop_init(loop);
    const auto port = free_port();
    http_server* server = nullptr;
    auto listening = http_server::listen(
        loop, {"127.0.0.1", port}, {},
        [&](exchange_id id, const http_request& request) {
            CHECK(request.service.str() == "echo");
            CHECK(find_header(request.headers, "x-test") == "1");
            server->respond(id,
                            {201, {{"x-size", std::to_string(request.body.size())}}, request.body});
        },
        [](exchange_id) { FAIL("closed"); });
    REQUIRE(listening.ok());
    server = listening->get();
    http_client client(loop);
    for (const std::size_t size : {0U, 1U, 100U, 65536U, 1000000U, 0U, 5U}) {
        const auto result = run_exchange(loop, client, port, make_request(std::string(size, 'a')));
        REQUIRE(std::holds_alternative<http_answer>(*result));
        const auto& answer = std::get<http_answer>(*result);
        CHECK(answer.status == 201);
        CHECK(answer.body.size() == size);
        CHECK(find_header(answer.headers, "x-size") == std::to_string(size));
        CHECK(find_header(answer.headers, "date").empty());
    }
    CHECK(client.pending() == 0);
}

TEST_CASE("an answer larger than allowed is a failure and its connection is not used again") {
    auto* loop = new uv_loop_t;
    uv_loop_init(loop);
    const auto port = free_port();
    http_server* server = nullptr;
    auto listening = http_server::listen(
        loop, {"127.0.0.1", port}, {},
        [&](exchange_id id, const http_request& request) {
            server->respond(id, {200, {}, request.body});
        },
        [](exchange_id) {});
    REQUIRE(listening.ok());
    server = listening->get();
    http_client client(loop);
    exchange_limits limits;
    limits.max_answer_bytes = 1000;
    const auto big =
        run_exchange(loop, client, port, make_request(std::string(100000, 'a')), limits);
    CHECK(std::get<exchange_failure>(*big) == exchange_failure::answer_too_large);
    const auto small = run_exchange(loop, client, port, make_request("own"), limits);
    CHECK(std::get<http_answer>(*small).body == "own");
}

TEST_CASE("a client that goes away is noticed while its request is worked on") {
    auto* loop = new uv_loop_t;
    uv_loop_init(loop);
    const auto port = free_port();
    http_client client(loop);
    http_client::request_id sent = 0;
    std::optional<exchange_id> arrived;
    std::optional<exchange_id> closed;
    auto listening = http_server::listen(
        loop, {"127.0.0.1", port}, {}, [&](exchange_id id, const http_request&) { arrived = id; },
        [&](exchange_id id) { closed = id; });
    REQUIRE(listening.ok());
    sent = client.send({"127.0.0.1", port}, make_request("x"), {}, [](const exchange_result&) {});
    while (!arrived) {
        uv_run(loop, UV_RUN_ONCE);
    }
    client.cancel(sent);
    while (!closed) {
        uv_run(loop, UV_RUN_ONCE);
    }
    CHECK(*closed == *arrived);
    CHECK((*listening)->pending() == 0);
}

TEST_CASE("a connection whose client has disconnected is closed") {
    auto* loop = new uv_loop_t;
    uv_loop_init(loop);
    const auto port = free_port();
    bool is_closed = false;
    auto listening = http_server::listen(
        loop, {"127.0.0.1", port}, {}, [](exchange_id, const http_request&) {},
        [&](exchange_id) { is_closed = true; });
    REQUIRE(listening.ok());
    const int client = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    REQUIRE(::connect(client, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0);
    const std::string bytes = "GET /x HTTP/1.1\r\nhost: a\r\n\r\n";
    REQUIRE(::send(client, bytes.data(), bytes.size(), 0) == static_cast<ssize_t>(bytes.size()));
    ::shutdown(client, SHUT_WR);
    ssize_t count = -1;
    char buffer[4096];
    // The loop ends when the server closes the connection. If it does not, the test's time limit
    // ends the test.
    while (count != 0) {
        uv_run(loop, UV_RUN_NOWAIT);
        count = ::recv(client, buffer, sizeof(buffer), MSG_DONTWAIT);
    }
    CHECK(is_closed);
    ::close(client);
}

TEST_CASE("a response that is no valid HTTP is a failure") {
    const std::string rest = "content-length: 3\r\n\r\nabc";
    for (const std::string line :
         {"HTTP/1.1 000 OK", "HTTP/1.1 000", "HTTP/1.1 099 -", "HTTP/1.1 600 -", "HTTP/1.1 999 -",
          "HTTP/1.1 20 -", "HTTP/1.1 0200 -", "HTTP/1.1 101 -", "HTTP/2.0 200 -", "HXYZ/1.1 200 -",
          "HTTP/1.1 200 O\x01K", "HTTP/1.1 200 O\rK"}) {
        CAPTURE(line);
        CHECK(is_refused(fmt::format("{}\r\n{}", line, rest)));
    }
    for (const std::string field :
         {"x : 1", "x y: 1", "x\t: 1", "x\x01: 1", "x\x7f: 1", "x\x80: 1", ": 1", "x", "x: \x01",
          "x: 1\rY: 2", "content-length : 2", "transfer-encoding : chunked",
          "transfer-encoding: gzip, chunked", "transfer-encoding: gzip"}) {
        CAPTURE(field);
        CHECK(is_refused(fmt::format("HTTP/1.1 200 OK\r\n{}\r\n{}", field, rest)));
    }
    for (const std::string body : {"3\r\nabcXX0\r\n\r\n", "3\rXabc\r\n0\r\n\r\n",
                                   "3\r\nabcd\r\n0\r\n\r\n", "3\r\nabc\r\n0\rX\r\n"}) {
        CAPTURE(body);
        CHECK(is_refused("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n" + body));
    }
}

TEST_CASE("a missing listener, a timeout and bad responses give different failures") {
    auto* loop = new uv_loop_t;
    uv_loop_init(loop);
    http_client client(loop);
    const auto refused = run_exchange(loop, client, free_port(), make_request("x"));
    CHECK(std::get<exchange_failure>(*refused) == exchange_failure::not_sent);

    const auto port = free_port();
    auto unresponsive = http_server::listen(
        loop, {"127.0.0.1", port}, {}, [](exchange_id, const http_request&) {}, [](exchange_id) {});
    exchange_limits limits;
    limits.timeout = std::chrono::milliseconds(50);
    const auto late = run_exchange(loop, client, port, make_request("x"), limits);
    CHECK(std::get<exchange_failure>(*late) == exchange_failure::timed_out);

    CHECK(failure_of_raw_answer("") == exchange_failure::connection_lost);
    CHECK(failure_of_raw_answer("nonsense\r\n\r\n") == exchange_failure::connection_lost);
    CHECK(failure_of_raw_answer("HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nhalf") ==
          exchange_failure::connection_lost);
    CHECK(failure_of_raw_answer("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nhe") ==
          exchange_failure::connection_lost);
    CHECK(failure_of_raw_answer("HTTP/1.1 200 OK\r\n\r\nno end mark") ==
          exchange_failure::bad_answer);
}
