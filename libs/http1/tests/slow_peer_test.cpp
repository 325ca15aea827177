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
    const plain_listener listener;
    client sender(&event_loop.loop, {});
    exchange_record first;
    start_request(sender, listener.address(), first);
    const plain_peer target(listener.accept_one());
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
    const auto second =
        sender.start(listener.address(), head, {}, true, options, [&](const exchange_event& event) {
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

namespace {

/// A client on a small device with a small receive buffer.
constexpr receive_limits smallest_device{4096, 1400};
constexpr std::size_t long_answer_bytes = 30'000;

/// A server and a client on a small device that sends requests one by one.
struct small_device_fixture {
    test_loop event_loop;
    test_server local_server{&event_loop.loop};
    plain_peer peer{plain_peer::connect_to(local_server.listen_address, smallest_device)};

    /// Sends a request and answers it. Returns the number of bytes that the client has received
    /// when it has the whole answer.
    std::size_t answer(std::size_t bytes) {
        const auto index = local_server.requests.size();
        peer.write("GET /1 HTTP/1.1\r\n\r\n");
        REQUIRE(event_loop.run_until([&] { return local_server.requests.size() > index; }));
        local_server.answer(index, std::string(bytes, 'x'));
        all_bytes_ += to_bytes(head_of(bytes), false).size() + bytes;
        return all_bytes_;
    }
    void read_all_evenly(double seconds) {
        const auto bytes = static_cast<double>(all_bytes_ - peer.received().size());
        peer.read_evenly(event_loop, all_bytes_, bytes / seconds);
    }
    /// Returns the time until the server reports cut answers, or five seconds if it does not.
    std::chrono::nanoseconds time_to_cut() {
        const auto began = uv_hrtime();
        event_loop.run_until([&] { return !local_server.cuts.empty(); });
        return std::chrono::nanoseconds(uv_hrtime() - began);
    }

private:
    static response_head head_of(std::size_t bytes) {
        response_head head;
        head.status = 200;
        head.reason = "OK";
        head.framing = body_framing::length;
        head.content_length = bytes;
        return head;
    }

    std::size_t all_bytes_ = 0;
};

} // namespace

// Guards against: a client that reads steadily, but takes less than a segment at a time, is reset
// 2.5 s after the first probe of its window, and loses the answers behind as well (review/6).
TEST_CASE("a client that reads an answer evenly, a little at a time, keeps its connection") {
    small_device_fixture site;
    site.answer(long_answer_bytes);
    const auto all = site.answer(4);
    site.read_all_evenly(5.2);
    CHECK(site.peer.received().size() == all);
    CHECK(site.local_server.cuts.empty());
}

// Guards against: a client whose window was closed during an earlier answer is reset at the first
// probe of its window in a later one, since the system's clock may run on between them.
TEST_CASE("a client that was slow once keeps its connection in later answers") {
    small_device_fixture site;
    site.answer(long_answer_bytes);
    run_for(site.event_loop, 600'000'000ULL);
    site.read_all_evenly(0.001);
    REQUIRE(site.peer.received().size() > long_answer_bytes);
    run_for(site.event_loop, 3'000'000'000ULL);
    const auto all = site.answer(long_answer_bytes);
    run_for(site.event_loop, 1'500'000'000ULL);
    site.read_all_evenly(1);
    CHECK(site.peer.received().size() == all);
    CHECK(site.local_server.cuts.empty());
}

TEST_CASE("a client that reads evenly, a little at a time, is known when it falls silent") {
    small_device_fixture site;
    site.answer(long_answer_bytes);
    site.peer.read_evenly(site.event_loop, 20'000, 5'800);
    REQUIRE(site.local_server.cuts.empty());
    site.peer.fall_silent();
    CHECK(site.time_to_cut() < std::chrono::milliseconds(3300));
}

TEST_CASE("a client that was slow once is known when it falls silent in a later answer") {
    small_device_fixture site;
    site.answer(long_answer_bytes);
    run_for(site.event_loop, 600'000'000ULL);
    site.read_all_evenly(0.001);
    run_for(site.event_loop, 1'000'000'000ULL);
    SUBCASE("while its window is open") {
        site.peer.fall_silent();
        site.answer(1000);
    }
    SUBCASE("while its window is closed") {
        site.answer(long_answer_bytes);
        run_for(site.event_loop, longer_than_silence_ns);
        REQUIRE(site.local_server.cuts.empty());
        site.peer.fall_silent();
    }
    CHECK(site.time_to_cut() < std::chrono::milliseconds(3300));
}

// Guards against: an upload to a target that reads steadily, but takes less than a segment at a
// time, fails 2.5 s after the first probe of the target's window.
TEST_CASE("a target that reads a body evenly, a little at a time, keeps its connection") {
    test_loop event_loop;
    const plain_listener listener(smallest_device);
    client sender(&event_loop.loop, {});
    request_head head;
    head.method = "POST";
    head.target = "/";
    head.framing = body_framing::length;
    head.content_length = long_answer_bytes;
    bool has_failed = false;
    bool is_complete = false;
    const auto running = sender.start(listener.address(), head, std::string(long_answer_bytes, 'x'),
                                      true, {}, [&](const exchange_event& event) {
                                          has_failed =
                                              std::holds_alternative<exchange_failure>(event);
                                          is_complete = std::holds_alternative<message_end>(event);
                                      });
    plain_peer target(listener.accept_one());
    target.read_evenly(event_loop, to_bytes(head).size() + long_answer_bytes, 5'800);
    CHECK_FALSE(has_failed);
    target.write(ok_response("1", "a"));
    CHECK(event_loop.run_until([&] { return is_complete || has_failed; }));
    CHECK(is_complete);
}
