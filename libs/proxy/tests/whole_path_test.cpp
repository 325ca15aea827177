// End-to-end tests of two proxies and their targets in one process.
#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <csignal>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <trefoil/http1/loop_timer.hpp>
#include <trefoil/http1/tcp_stream.hpp>
#include <trefoil/traffic/call_tree.hpp>

#include "two_machine_site.hpp"

using namespace trefoil;

TEST_CASE("a request is served by the target of its own machine with its fields set") {
    two_machine_site site;
    const auto got = site.ask("/read/1?q=2", {{"time-left", "400"},
                                              {"from", "forged"},
                                              {"trefoil-terms", "forged"},
                                              {"x-other", "kept"}});
    CHECK(got.status == 200);
    CHECK(got.body == "body of /read/1?q=2");
    REQUIRE(site.reached(0) == 1);
    const auto& headers = site.targets[0]->requests[0]->head().headers;
    CHECK(find_header(headers, "from") == "s");
    CHECK(find_header(headers, "expected") == "i0");
    CHECK(find_header(headers, "x-other") == "kept");
    CHECK(find_header(headers, "trefoil-terms").empty());
    const auto left = std::stoi(std::string(find_header(headers, "time-left")));
    CHECK(left <= 400);
    CHECK(left > 200);
}

TEST_CASE("a leaving target gets no more requests; the target of the other machine serves them") {
    two_machine_site site;
    site.change({site.instance(0, listed_state::draining)});
    for (int i = 0; i < 5; ++i) {
        CHECK(site.ask("/write/" + std::to_string(i)).status == 200);
    }
    CHECK(site.reached(0) == 0);
    CHECK(site.reached(1) == 5);
    CHECK(find_header(site.targets[1]->requests[0]->head().headers, "from") == "s");
}

TEST_CASE(
    "a request that a target has not run is sent to another one, even if it is not idempotent") {
    two_machine_site site;
    site.targets[1]->is_shedding = false;
    const auto got = site.ask("/write/shed");
    CHECK(got.status == 200);
    CHECK(site.reached(0) == 1);
    CHECK(site.reached(1) == 1);
}

TEST_CASE("a refusal that may belong to an earlier request does not let a request run twice") {
    two_machine_site site;
    site.targets[0]->omits_id = true;
    const auto got = site.ask("/write/shed");
    CHECK(got.status == 502);
    CHECK(site.reached(0) == 1);
    CHECK(site.reached(1) == 0);
}

TEST_CASE("when no target has capacity the client gets 503 and a retry time") {
    two_machine_site site;
    const auto got = site.ask("/write/shed");
    CHECK(got.status == 503);
    CHECK_FALSE(find_header(got.headers, "retry-after").empty());
    CHECK(site.reached(0) + site.reached(1) == 2);
}

TEST_CASE("a request whose target accepts no connection is served by the other machine") {
    two_machine_site site;
    site.targets[0]->listener.reset();
    auto old = site.instance(0);
    CHECK(site.ask("/read/1").status == 200);
    CHECK(site.reached(1) == 1);
    CHECK(site.ask("/write/1").status == 200);
}

TEST_CASE("a non-idempotent request that may have run is neither retried nor reported as refused") {
    two_machine_site site;
    reply got;
    site.send(got, "/write/hang");
    REQUIRE(site.run_until([&] { return site.reached(0) + site.reached(1) == 1; }));
    for (auto& target : site.targets) {
        for (const auto& request : target->requests) {
            request->abort();
        }
    }
    REQUIRE(site.run_until([&] { return got.is_finished; }));
    CHECK(got.status == 502);
    CHECK(site.reached(0) + site.reached(1) == 1);
}

TEST_CASE("the timeout of the route ends the call and the run at the target") {
    two_machine_site site;
    const auto got = site.ask("/read/hang");
    CHECK(got.status == 504);
    CHECK(site.run_until(
        [&] { return site.targets[0]->cancelled + site.targets[1]->cancelled == 1; }));
}

TEST_CASE("a client that closes its connection cancels the run at the other machine's target") {
    two_machine_site site;
    site.change({instance_removed{instance_id("i0")}});
    reply got;
    site.send(got, "/read/hang");
    REQUIRE(site.run_until([&] { return site.reached(1) == 1; }));
    got.running.reset();
    CHECK(site.run_until([&] { return site.targets[1]->cancelled == 1; }));
}

TEST_CASE("a request without a route gets 404, also after an update has removed the route") {
    two_machine_site site;
    CHECK(site.ask("/none/1").status == 404);
    auto next = site.config(2);
    next.routes.pop_back();
    site.change({next});
    CHECK(site.ask("/write/1").status == 404);
    site.change({site.config(1)});
    CHECK(site.ask("/write/1").status == 404);
}

TEST_CASE("an unreadable item leaves the last valid one in force") {
    two_machine_site site;
    site.change({unreadable_item{"k", "version: bad", {}}});
    CHECK(site.ask("/read/1").status == 200);
}

TEST_CASE("a request that crashes each target that runs it is quarantined, others are not") {
    two_machine_site site;
    for (int crash = 0; crash < 3; ++crash) {
        reply got;
        site.send(got, "/write/hang-and-die");
        const auto before = site.reached(0);
        REQUIRE(site.run_until([&] { return site.reached(0) > before; }));
        // The target crashes: its listener and all its connections are closed.
        site.targets[0]->listener.reset();
        REQUIRE(site.run_until([&] { return got.is_finished; }));
        const auto wake = uv_hrtime() + 200'000'000ULL;
        site.run_until([&] { return uv_hrtime() > wake; });
        site.targets[0] =
            std::make_unique<test_target>(&site.loop, endpoint{site.ip(0), site.target_port});
    }
    const auto got = site.ask("/write/hang-and-die");
    CHECK(got.status == 503);
    CHECK(site.reached(0) == 0);
    CHECK(site.ask("/write/other").status == 200);
}

TEST_CASE("a streamed body is never sent again") {
    two_machine_site site;
    http1::request_head head;
    head.method = "POST";
    head.target = "/read/hang";
    head.headers = {{"host", "h"}, {"id", "caller-1"}};
    head.framing = http1::body_framing::chunked;
    const std::string piece(200'000, 'x');
    reply got;
    got.running = site.client->start(
        {site.ip(0), site.caller_port}, head, piece, false, {},
        [&got](http1::exchange_event event) { two_machine_site::take(got, std::move(event)); });
    got.running->send_body(piece);
    REQUIRE(site.run_until([&] { return site.reached(0) == 1; }));
    got.running->finish_body();
    const auto& run = site.targets[0]->requests[0];
    REQUIRE(site.run_until([&] { return run->is_body_complete(); }));
    CHECK(run->body_size() == 2 * piece.size());
    run->abort();
    REQUIRE(site.run_until([&] { return got.is_finished; }));
    CHECK(got.status == 502);
    CHECK(site.reached(0) + site.reached(1) == 1);
}

TEST_CASE("a request that must not be repeated never goes over an idle connection to a node") {
    two_machine_site site;
    site.change({instance_removed{instance_id("i0")}});
    const auto opened = [&] {
        reply got;
        http1::request_head head;
        head.method = "GET";
        head.target = "/";
        got.running = site.client->start(
            {site.ip(0), site.metrics_port}, head, {}, true, {},
            [&got](http1::exchange_event event) { two_machine_site::take(got, std::move(event)); });
        REQUIRE(site.run_until([&] { return got.is_finished; }));
        const std::string name = "\ntrefoil_peer_connections_total ";
        return std::stoul(got.body.substr(got.body.find(name) + name.size()));
    };
    for (int i = 0; i < 3; ++i) {
        CHECK(site.ask("/read/1").status == 200);
    }
    CHECK(opened() == 1);
    const auto wake = uv_hrtime() + 20'000'000ULL;
    site.run_until([&] { return uv_hrtime() > wake; });
    for (std::size_t i = 0; i < 3; ++i) {
        CHECK(site.ask("/write/1").status == 200);
        CHECK(opened() == 2 + i);
        const auto later = uv_hrtime() + 20'000'000ULL;
        site.run_until([&] { return uv_hrtime() > later; });
    }
}

TEST_CASE("a request of another node that doesn't say how long its caller waits is refused") {
    two_machine_site site;
    http1::request_head head;
    head.method = "GET";
    head.target = "/read/1";
    head.headers = {{"host", "h"}, {"id", "caller-1"}, {"trefoil-terms", "1 5 0 0 0 500 read"}};
    reply got;
    got.running = site.client->start(
        {site.ip(0), site.peer_port}, head, {}, true, {},
        [&got](http1::exchange_event event) { two_machine_site::take(got, std::move(event)); });
    REQUIRE(site.run_until([&] { return got.is_finished; }));
    CHECK(got.status == 503);
    CHECK(find_header(got.headers, "trefoil-verdict").starts_with("not_run bad_request"));
    CHECK(site.reached(0) == 0);
}

TEST_CASE("a request that arrives 3 s after the stop signal is refused and not cut off later") {
    two_machine_site site;
    std::raise(SIGTERM);
    bool is_over = false;
    http1::loop_timer timer(&site.loop, [&] { is_over = true; });
    timer.start(3s);
    REQUIRE(site.run_until([&] { return is_over; }));
    const auto got = site.ask("/read/1");
    CHECK(got.status == 503);
    CHECK_FALSE(find_header(got.headers, "retry-after").empty());
    CHECK(site.reached(0) + site.reached(1) == 0);
}

TEST_CASE(
    "a request whose body arrives 3 s after the stop signal is refused and not cut off later") {
    two_machine_site site;
    std::raise(SIGTERM);
    http1::loop_timer timer(&site.loop, [] {});
    timer.start_repeating(10ms);
    const auto began = http1::loop_time(&site.loop);
    const auto run_to = [&](duration since_stop) {
        site.run_until([&] { return http1::loop_time(&site.loop) - began >= since_stop; });
    };
    run_to(2700ms);
    http1::request_head head;
    head.method = "POST";
    head.target = "/write/hang";
    head.headers = {{"host", "h"}, {"id", "caller-1"}, {"time-left", "5000"}};
    head.framing = http1::body_framing::length;
    head.content_length = 2;
    reply got;
    got.running = site.client->start(
        {site.ip(0), site.caller_port}, head, "a", false, {},
        [&got](http1::exchange_event event) { two_machine_site::take(got, std::move(event)); });
    run_to(2950ms);
    got.running->send_body("b");
    got.running->finish_body();
    REQUIRE(site.run_until([&] { return got.is_finished; }));
    CHECK(got.status == 503);
    CHECK(site.reached(0) + site.reached(1) == 0);
}

// Guards against a request that is left behind when its connection closes. While the node is
// stopping, a response closes its connection. A request that displaces an earlier request of its
// own connection from the queue is therefore closed while it is still being queued.
TEST_CASE("a request whose connection ends while it is queued leaves nothing behind") {
    two_machine_site site;
    site.change({instance_removed{instance_id("i1")}});
    std::raise(SIGTERM);
    reply ready;
    REQUIRE(site.run_until([&] {
        ready = {};
        http1::request_head head;
        head.method = "GET";
        head.target = "/";
        ready.running = site.client->start({site.ip(0), site.ready_port}, head, {}, true, {},
                                           [&ready](http1::exchange_event event) {
                                               two_machine_site::take(ready, std::move(event));
                                           });
        site.run_until([&] { return ready.is_finished; });
        return ready.status == 503;
    }));
    // Three of the four slots are usable, so three hanging requests occupy the target and three
    // more can be queued.
    std::array<reply, 3> hanging;
    for (auto& one : hanging) {
        site.send(one, "/read/hang");
    }
    REQUIRE(site.run_until([&] { return site.reached(0) == hanging.size(); }));
    std::vector<std::string> ids;
    for (char letter = 'a'; letter < 'a' + 4; ++letter) {
        ids.emplace_back(1, letter);
    }
    std::sort(ids.begin(), ids.end(), [](const auto& left, const auto& right) {
        return request_bucket_of(left) > request_bucket_of(right);
    });
    bool has_ended = false;
    std::string bytes;
    for (const auto& id : ids) {
        bytes.append("GET /read/").append(id).append(" HTTP/1.1\r\nhost: h\r\nid: ");
        bytes.append(id).append("\r\n\r\n");
    }
    const auto stream =
        http1::tcp_stream::connect(&site.loop, {site.ip(0), site.caller_port},
                                   {{}, {}, [&](http1::close_reason) { has_ended = true; }, {}});
    stream->write(bytes);
    REQUIRE(site.run_until([&] { return has_ended; }));
    for (auto& one : hanging) {
        REQUIRE(site.run_until([&] { return one.is_finished; }));
    }
    const auto later = uv_hrtime() + 300'000'000ULL;
    site.run_until([&] { return uv_hrtime() > later; });
    CHECK(site.reached(0) == hanging.size());
}

TEST_CASE("a call counts for its run although another run with the same id has ended") {
    two_machine_site site;
    reply first;
    site.send(first, "/read/hang");
    REQUIRE(site.run_until([&] { return site.reached(0) == 1; }));
    CHECK(site.ask("/read/other").status == 200);
    site.caller_id = "caller-1.1";
    CHECK(site.ask("/write/shed").status == 503);
    const auto asked_of_other = site.reached(1);

    http1::response_head failure;
    failure.status = 500;
    failure.headers = {{"id", "caller-1"}, {"stamp", "s"}};
    site.targets[0]->requests[0]->respond(failure, "");
    REQUIRE(site.run_until([&] { return first.is_finished; }));
    // A run whose call found no room is not repeated.
    CHECK(first.status == 500);
    CHECK(site.reached(1) == asked_of_other);
}
