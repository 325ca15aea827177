// Tests of the server against clients that send raw bytes.
#include <doctest/doctest.h>

#include <array>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "loopback_peers.hpp"

using namespace trefoil;
using namespace trefoil::http1;

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
