// Connections that the server ends: what it has answered reaches the client whole, whatever the
// client still sends.
#include <doctest/doctest.h>

#include <functional>
#include <memory>
#include <string>

#include "plain_peer.hpp"

using namespace trefoil;
using namespace trefoil::http1;

namespace {

/// As long as the longest answers of the users, and more than a small device takes at once.
constexpr std::size_t answer_bytes = 36'000;
constexpr double read_bytes_per_s = 36'000;

/// A server and a client on a small device that has sent something.
struct closing_site {
    test_loop event_loop;
    test_server local_server;
    plain_peer peer;

    explicit closing_site(const std::string& sent, server_limits limits = {})
        : local_server(&event_loop.loop, limits),
          peer(plain_peer::connect_to(local_server.listen_address, small_device)) {
        peer.write(sent);
    }

    void wait_for_requests(std::size_t count) {
        REQUIRE(event_loop.run_until([&] { return local_server.requests.size() == count; }));
    }
    void answer(std::size_t index) { local_server.answer(index, std::string(answer_bytes, 'x')); }
    /// Lets the server read what the client has sent.
    void pause() { run_for(event_loop, 50'000'000ULL); }
    /// Reads everything at an even pace. Returns the number of body bytes.
    std::size_t read_body() {
        peer.read_evenly(event_loop, std::string::npos, read_bytes_per_s);
        const auto end_of_head = peer.received().find("\r\n\r\n");
        return end_of_head == std::string::npos ? 0 : peer.received().size() - end_of_head - 4;
    }
};

const std::string get_request = "GET /1 HTTP/1.1\r\n\r\n";

} // namespace

// Guards against: after a stop signal, a further pipelined request resets the connection, and the
// answer before it is cut (review/8).
TEST_CASE(
    "a further request behind the last answer of a stopping server does not cut that answer") {
    closing_site site(get_request);
    site.wait_for_requests(1);
    site.local_server.listener->close_connections_after_answers();
    site.answer(0);
    site.pause();
    site.peer.write(get_request);
    CHECK(site.read_body() == answer_bytes);
    CHECK(site.peer.end() == plain_peer::read_end::closed);
    CHECK(site.local_server.requests.size() == 1);
}

// Guards against: as above, without a stop, where the client itself asked for the end.
TEST_CASE("a further request behind one that closes its connection does not cut the answer") {
    closing_site site("GET /1 HTTP/1.1\r\nConnection: close\r\n\r\n");
    site.wait_for_requests(1);
    site.answer(0);
    site.pause();
    site.peer.write(get_request);
    CHECK(site.read_body() == answer_bytes);
    CHECK(site.peer.end() == plain_peer::read_end::closed);
}

// Guards against: input behind a refused request resets the connection, and the answer before the
// refusal is cut.
TEST_CASE("input behind a refused request does not cut the answers before it") {
    for (const std::string refused :
         {"no request\r\n\r\n", "POST /2 HTTP/1.1\r\nContent-Length: 100000000\r\n\r\nabc"}) {
        CAPTURE(refused);
        closing_site site(get_request + refused);
        site.wait_for_requests(1);
        site.answer(0);
        site.pause();
        site.peer.write("more of the same");
        CHECK(site.read_body() > answer_bytes);
        CHECK(site.peer.end() == plain_peer::read_end::closed);
    }
}

// Guards against: a further request behind an aborted answer resets the connection, and the answer
// before the aborted one is cut.
TEST_CASE("a further request behind an aborted answer does not cut the answer before it") {
    closing_site site(get_request + get_request);
    site.wait_for_requests(2);
    site.answer(0);
    site.local_server.requests[1]->abort();
    site.pause();
    site.peer.write(get_request);
    CHECK(site.read_body() == answer_bytes);
    CHECK(site.peer.end() == plain_peer::read_end::closed);
}

// Guards against: the rest of a body that nobody reads any more resets the connection, and the
// answer to it is cut.
TEST_CASE("the rest of an upload does not cut the answer that was given before it") {
    closing_site site("POST /1 HTTP/1.1\r\nContent-Length: 40000\r\n\r\n");
    site.wait_for_requests(1);
    site.local_server.listener->close_connections_after_answers();
    site.answer(0);
    site.pause();
    site.peer.write(std::string(20'000, 'x'));
    site.pause();
    site.peer.write(std::string(20'000, 'x'));
    CHECK(site.read_body() == answer_bytes);
    CHECK(site.peer.end() == plain_peer::read_end::closed);
}

// Guards against: a malformed rest of a body whose request was answered early cuts that answer.
TEST_CASE("a malformed rest of an upload does not cut the answer that was given before it") {
    closing_site site("POST /1 HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n");
    site.wait_for_requests(1);
    site.answer(0);
    site.pause();
    site.peer.write("no chunk");
    site.pause();
    site.peer.write("nor this");
    CHECK(site.read_body() >= answer_bytes);
    CHECK(site.peer.end() == plain_peer::read_end::closed);
}

TEST_CASE("a client that never ends its side is closed after some seconds") {
    closing_site site("GET /1 HTTP/1.1\r\nConnection: close\r\n\r\n");
    site.wait_for_requests(1);
    site.answer(0);
    CHECK(site.read_body() == answer_bytes);
    run_for(site.event_loop, 4'000'000'000ULL);
    site.peer.write("x");
    site.pause();
    CHECK(site.peer.try_write("x"));
    // Later than the input by what a peer is waited for, and by two looks at the connection.
    run_for(site.event_loop, 4'000'000'000ULL);
    run_for(site.event_loop, 4'000'000'000ULL);
    site.peer.write("x");
    site.pause();
    CHECK_FALSE(site.peer.try_write("x"));
}

TEST_CASE("the oldest of too many ending connections is closed") {
    server_limits limits;
    limits.max_ending_connections = 1;
    closing_site site("GET /1 HTTP/1.1\r\nConnection: close\r\n\r\n", limits);
    site.wait_for_requests(1);
    site.answer(0);
    site.pause();
    plain_peer second(plain_peer::connect_to(site.local_server.listen_address, small_device));
    second.write("GET /2 HTTP/1.1\r\nConnection: close\r\n\r\n");
    site.wait_for_requests(2);
    site.local_server.answer(1, "short");
    site.pause();
    // A closed socket resets its connection when more arrives, one that is being ended does not.
    site.peer.write("x");
    second.write("x");
    site.read_body();
    CHECK(site.peer.end() == plain_peer::read_end::reset);
    second.read_evenly(site.event_loop, std::string::npos, read_bytes_per_s);
    CHECK(second.received().ends_with("short"));
    CHECK(second.end() == plain_peer::read_end::closed);
}

// Guards against: a process that stops counts an answer as given when its socket has accepted it,
// and exits before the client has taken it (review/9).
TEST_CASE("a server has unread answers until its clients have taken them") {
    bool is_kept = false;
    SUBCASE("on a connection that is kept") {
        is_kept = true;
    }
    SUBCASE("on a connection that is ended") {}
    closing_site site(is_kept ? get_request : "GET /1 HTTP/1.1\r\nConnection: close\r\n\r\n");
    site.wait_for_requests(1);
    auto& server = *site.local_server.listener;
    CHECK_FALSE(server.has_unread_answers());
    site.answer(0);
    site.pause();
    CHECK(server.pending() == 0);
    CHECK(server.has_unread_answers());
    server.report_unread_answers();
    REQUIRE(site.local_server.cuts.size() == 1);
    CHECK(site.local_server.cuts.front().cause == close_reason::not_taken);
    CHECK(site.local_server.cuts.front().unacknowledged_bytes > answer_bytes / 2);
    site.peer.read_evenly(site.event_loop, answer_bytes, read_bytes_per_s);
    CHECK(site.event_loop.run_until([&] { return !server.has_unread_answers(); }));
}
