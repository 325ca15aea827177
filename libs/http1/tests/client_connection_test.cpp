// Tests of the client against targets that send raw bytes.
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

TEST_CASE("an answer that is no valid HTTP fails, names its fault and ends the connection") {
    struct invalid_case {
        std::string answer;
        answer_fault fault;
        /// Status that the client has reported before the failure.
        int status = 0;
    };
    const std::vector<invalid_case> cases = {
        {"HTTP/1.1 000 OK\r\nid: 1\r\nContent-Length: 0\r\n\r\n", answer_fault::bad_status},
        {"HTTP/1.1 600 -\r\nid: 1\r\nContent-Length: 0\r\n\r\n", answer_fault::bad_status},
        {"HTTP/1.1 200 OK\r\nid: 1\r\nx : 1\r\nContent-Length: 0\r\n\r\n", answer_fault::bad_field},
        {"HTTP/1.1 103 -\r\nx : 1\r\n\r\n" + ok_response("1", "a"), answer_fault::bad_field},
        {"HTTP/2.0 200 OK\r\nid: 1\r\nContent-Length: 0\r\n\r\n", answer_fault::bad_version},
        {"HTTP/1.1 404 N\x01\r\nid: 1\r\nContent-Length: 0\r\n\r\n", answer_fault::bad_reason},
        {"HTTP/1.1 200 OK\r\nid: 1\r\nx\x01: 1\r\nContent-Length: 0\r\n\r\n",
         answer_fault::bad_field},
        {"HTTP/1.1 200 OK\r\nid: 1\r\nx: \x01\r\nContent-Length: 0\r\n\r\n",
         answer_fault::bad_field},
        {"HTTP/1.1 404 N\rF\r\nid: 1\r\nContent-Length: 0\r\n\r\n", answer_fault::bad_line_end},
        {"HTTP/1.1 200 OK\r\nid: 1\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
         answer_fault::bad_coding},
        {"HTTP/1.1 200 OK\r\nid: 1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\naXX0\r\n\r\n",
         answer_fault::bad_line_end, 200},
    };
    for (const auto& one : cases) {
        for (const auto* id : {"1", ""}) {
            CAPTURE(one.answer);
            CAPTURE(id);
            test_loop event_loop;
            raw_target target(&event_loop.loop, {one.answer});
            client sender(&event_loop.loop, {});
            exchange_record record;
            start_request(sender, target.listen_address(), record, id);
            REQUIRE(event_loop.run_until([&] { return record.is_finished(); }));
            CHECK(record.has_failed);
            CHECK(record.failure == exchange_failure::bad_answer);
            CHECK(record.status == one.status);
            CHECK(record.handle->use().fault == one.fault);
            CHECK(event_loop.run_until([&] { return target.closed_connections == 1; }));
        }
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
