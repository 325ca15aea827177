// Peers that read slowly keep their connections, silent ones are known.
#include <doctest/doctest.h>

#include <array>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "plain_peer.hpp"

using namespace trefoil;
using namespace trefoil::http1;

namespace {

/// More than all buffers between two sockets take.
constexpr std::size_t unbuffered_bytes = 24U << 20U;
/// Longer than a peer may be silent.
constexpr std::uint64_t longer_than_silence_ns = 3'500'000'000ULL;

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

TEST_CASE("answers are reported as cut with the cause and the bytes that were not acknowledged") {
    SUBCASE("a client that falls silent") {
        plain_peer_fixture site;
        site.peer.fall_silent();
        site.begin_answer(1000);
        site.time_to_close();
        REQUIRE(site.local_server.cuts.size() == 1);
        const auto& cut = site.local_server.cuts.front();
        CHECK(cut.cause == close_reason::timed_out);
        CHECK(cut.unacknowledged_bytes > 1000);
        CHECK(cut.unacknowledged_bytes < 1200);
        CHECK(cut.since_acknowledgement >= std::chrono::milliseconds(2000));
        CHECK(cut.open_requests == 1);
    }
    SUBCASE("a client that resets its connection") {
        test_loop event_loop;
        test_server local_server(&event_loop.loop);
        raw_client sender(&event_loop.loop, local_server.listen_address);
        sender.stream->write("GET /1 HTTP/1.1\r\n\r\n");
        REQUIRE(event_loop.run_until([&] { return local_server.requests.size() == 1; }));
        sender.stream->pause_reading();
        local_server.answer(0, std::string(unbuffered_bytes, 'x'));
        run_for(event_loop, 50'000'000ULL);
        sender.stream->reset();
        REQUIRE(event_loop.run_until([&] { return !local_server.cuts.empty(); }));
        const auto& cut = local_server.cuts.front();
        CHECK(cut.cause == close_reason::reset);
        CHECK(cut.unacknowledged_bytes > unbuffered_bytes / 2);
        CHECK(cut.unacknowledged_bytes < unbuffered_bytes);
        CHECK(cut.open_requests == 0);
        CHECK(local_server.listener->pending() == 0);
    }
    SUBCASE("a client that has everything is not reported") {
        test_loop event_loop;
        test_server local_server(&event_loop.loop);
        raw_client sender(&event_loop.loop, local_server.listen_address);
        sender.stream->write("GET /1 HTTP/1.1\r\n\r\n");
        REQUIRE(event_loop.run_until([&] { return local_server.requests.size() == 1; }));
        local_server.answer(0, "first");
        REQUIRE(event_loop.run_until(
            [&] { return sender.received.find("first") != std::string::npos; }));
        sender.stream->reset();
        run_for(event_loop, 50'000'000ULL);
        CHECK(local_server.cuts.empty());
    }
}
