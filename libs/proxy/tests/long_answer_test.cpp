// Long answers of a target whose caller, or an earlier request of the caller's connection, holds
// them up.
#include <doctest/doctest.h>

#include <csignal>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include <fmt/format.h>

#include <trefoil/http1/message_parser.hpp>
#include <trefoil/http1/tcp_stream.hpp>

#include "scripted_target.hpp"
#include "two_machine_site.hpp"

using namespace trefoil;

namespace {

/// More than the proxies hold back for a caller, and less than the socket buffers take.
constexpr std::size_t long_body_bytes = 1'000'000;
/// More than the proxies and all socket buffers on the way take.
constexpr std::size_t endless_body_bytes = 24'000'000;

std::string answer_head(const std::string& id, std::size_t body_bytes) {
    return fmt::format("HTTP/1.1 200 OK\r\nid: {}\r\nstamp: s\r\ncontent-length: {}\r\n\r\n", id,
                       body_bytes);
}

std::string whole_answer(const std::string& id, std::size_t body_bytes) {
    return answer_head(id, body_bytes) + std::string(body_bytes, 'x');
}

/// Two machines; only the target of machine 0 gets requests, and the test answers them.
struct long_answer_site {
    two_machine_site site;
    std::unique_ptr<scripted_target> target;
    /// The connection on which each request reached the target, by the request's id.
    std::map<std::string, std::size_t> arrived;

    explicit long_answer_site(duration timeout = 600ms) {
        // As in the program: a peer may close a connection that is still written to.
        std::signal(SIGPIPE, SIG_IGN);
        site.targets[0].reset();
        target = std::make_unique<scripted_target>(
            &site.loop, endpoint{site.ip(0), site.target_port},
            [this](const scripted_request& request) { arrived[request.id] = request.connection; });
        auto config = two_machine_site::config(2);
        for (auto& entry : config.routes) {
            entry.timeout = timeout;
        }
        for (const std::size_t machine : {0U, 1U}) {
            site.change({config, site.instance(1, listed_state::draining)}, machine);
        }
    }

    void answer(const std::string& id, const std::string& bytes) {
        target->send(arrived.at(id), bytes);
    }
    /// True if the connection on which the request reached the target is closed.
    bool is_cancelled(const std::string& id) const { return !target->is_open(arrived.at(id)); }
    bool wait_for(const std::string& id) {
        return site.run_until([&] { return arrived.contains(id); });
    }
    void run_for(duration time) {
        bool is_over = false;
        http1::loop_timer timer(&site.loop, [&] { is_over = true; });
        timer.start(time);
        site.run_until([&] { return is_over; });
    }
};

/// A caller with one connection, on which it pipelines requests.
struct pipelining_caller {
    std::unique_ptr<http1::tcp_stream> stream;
    http1::response_parser parser;
    /// Size of the body of each answer; the last one may be incomplete.
    std::vector<std::size_t> bodies;
    std::vector<int> statuses;
    std::size_t complete = 0;
    bool is_ended = false;

    pipelining_caller(long_answer_site& where, std::size_t machine) {
        stream = http1::tcp_stream::connect(&where.site.loop,
                                            {where.site.ip(machine), where.site.caller_port},
                                            {{},
                                             [this](std::string_view bytes) { read(bytes); },
                                             [this](http1::close_reason) { is_ended = true; },
                                             {}});
    }

    void send(const std::string& id, duration deadline = 8s) {
        stream->write(fmt::format("GET /read/{} HTTP/1.1\r\nhost: h\r\nid: {}\r\n"
                                  "time-left: {:.0f}\r\n\r\n",
                                  id, id, to_ms(deadline)));
    }

private:
    void read(std::string_view bytes) {
        std::vector<http1::response_event> events;
        parser.feed(bytes, events);
        for (const auto& event : events) {
            if (const auto* head = std::get_if<http1::response_head>(&event)) {
                bodies.push_back(0);
                statuses.push_back(head->status);
            } else if (const auto* piece = std::get_if<http1::body_piece>(&event)) {
                bodies.back() += piece->bytes.size();
            } else if (std::holds_alternative<http1::message_end>(event)) {
                ++complete;
            }
        }
    }
};

} // namespace

TEST_CASE("a long answer behind a slower request is whole once that one is answered") {
    for (const std::size_t machine : {0U, 1U}) {
        CAPTURE(machine);
        long_answer_site slow(5s);
        pipelining_caller caller(slow, machine);
        caller.send("first");
        caller.send("long");
        REQUIRE(slow.wait_for("first"));
        REQUIRE(slow.wait_for("long"));
        slow.answer("long", whole_answer("long", long_body_bytes));
        slow.run_for(100ms);
        CHECK(caller.bodies.empty());
        slow.answer("first", whole_answer("first", 5));
        CHECK(slow.site.run_until([&] { return caller.complete == 2 || caller.is_ended; }));
        CHECK(caller.bodies == std::vector<std::size_t>{5, long_body_bytes});
    }
}

TEST_CASE("a long answer goes on when its caller reads again, before or after an earlier answer") {
    for (const std::size_t machine : {0U, 1U}) {
        for (const bool reads_first : {false, true}) {
            CAPTURE(machine);
            CAPTURE(reads_first);
            long_answer_site slow(5s);
            pipelining_caller caller(slow, machine);
            caller.send("first");
            caller.send("long");
            REQUIRE(slow.wait_for("first"));
            REQUIRE(slow.wait_for("long"));
            caller.stream->pause_reading();
            slow.answer("long", whole_answer("long", endless_body_bytes));
            slow.run_for(100ms);
            if (reads_first) {
                caller.stream->resume_reading();
                slow.run_for(50ms);
            }
            slow.answer("first", whole_answer("first", 5));
            slow.run_for(300ms);
            caller.stream->resume_reading();
            CHECK(slow.site.run_until([&] { return caller.complete == 2 || caller.is_ended; }));
            CHECK(caller.bodies == std::vector<std::size_t>{5, endless_body_bytes});
        }
    }
}

TEST_CASE("a caller that leaves ends the run of an answer that waits behind an earlier one") {
    for (const std::size_t machine : {0U, 1U}) {
        CAPTURE(machine);
        long_answer_site slow(5s);
        pipelining_caller caller(slow, machine);
        caller.send("first");
        caller.send("long");
        REQUIRE(slow.wait_for("first"));
        REQUIRE(slow.wait_for("long"));
        slow.answer("long", whole_answer("long", endless_body_bytes));
        slow.run_for(100ms);
        caller.stream.reset();
        CHECK(slow.site.run_until(
            [&] { return slow.is_cancelled("first") && slow.is_cancelled("long"); }));
    }
}

TEST_CASE("an answer whose target falls silent ends soon after the timeout, and not as a whole") {
    for (const std::size_t machine : {0U, 1U}) {
        CAPTURE(machine);
        long_answer_site slow;
        pipelining_caller caller(slow, machine);
        caller.send("long");
        REQUIRE(slow.wait_for("long"));
        slow.answer("long", answer_head("long", long_body_bytes) + std::string(200'000, 'x'));
        slow.run_for(450ms);
        CHECK_FALSE(caller.is_ended);
        slow.run_for(650ms);
        CHECK(caller.is_ended);
        CHECK(caller.statuses == std::vector<int>{200});
        CHECK(caller.complete == 0);
        CHECK(slow.is_cancelled("long"));
    }
}

TEST_CASE("an answer that its caller does not read ends at the caller's deadline") {
    for (const std::size_t machine : {0U, 1U}) {
        CAPTURE(machine);
        long_answer_site slow;
        pipelining_caller caller(slow, machine);
        caller.send("long", 1s);
        REQUIRE(slow.wait_for("long"));
        caller.stream->pause_reading();
        slow.answer("long", whole_answer("long", endless_body_bytes));
        slow.run_for(850ms);
        CHECK_FALSE(slow.is_cancelled("long"));
        slow.run_for(650ms);
        CHECK(slow.is_cancelled("long"));
        caller.stream->resume_reading();
        CHECK(slow.site.run_until([&] { return caller.is_ended; }));
        CHECK(caller.complete == 0);
    }
}

TEST_CASE("an answer that still flows at the timeout is sent to its end") {
    for (const std::size_t machine : {0U, 1U}) {
        CAPTURE(machine);
        long_answer_site slow;
        pipelining_caller caller(slow, machine);
        caller.send("long");
        REQUIRE(slow.wait_for("long"));
        constexpr std::size_t pieces = 12;
        constexpr std::size_t piece_bytes = 100'000;
        slow.answer("long", answer_head("long", pieces * piece_bytes));
        for (std::size_t i = 0; i < pieces; ++i) {
            slow.answer("long", std::string(piece_bytes, 'x'));
            slow.run_for(100ms);
        }
        CHECK(slow.site.run_until([&] { return caller.complete == 1 || caller.is_ended; }));
        CHECK(caller.bodies == std::vector<std::size_t>{pieces * piece_bytes});
        CHECK(caller.complete == 1);
    }
}

TEST_CASE("a long answer behind a request that times out is whole") {
    for (const std::size_t machine : {0U, 1U}) {
        CAPTURE(machine);
        long_answer_site slow;
        pipelining_caller caller(slow, machine);
        caller.send("first");
        caller.send("long");
        REQUIRE(slow.wait_for("first"));
        REQUIRE(slow.wait_for("long"));
        slow.answer("long", whole_answer("long", endless_body_bytes));
        CHECK(slow.site.run_until([&] { return caller.complete == 2 || caller.is_ended; }));
        CHECK(caller.statuses == std::vector<int>{504, 200});
        CHECK(caller.bodies == std::vector<std::size_t>{0, endless_body_bytes});
    }
}

TEST_CASE("an answer that breaks off behind a slower request does not cut that one's answer") {
    for (const std::size_t machine : {0U, 1U}) {
        CAPTURE(machine);
        long_answer_site slow(5s);
        pipelining_caller caller(slow, machine);
        caller.send("first");
        caller.send("long");
        REQUIRE(slow.wait_for("first"));
        REQUIRE(slow.wait_for("long"));
        slow.answer("long", answer_head("long", long_body_bytes) + std::string(100'000, 'x'));
        slow.run_for(50ms);
        slow.target->close(slow.arrived.at("long"));
        slow.run_for(200ms);
        CHECK_FALSE(caller.is_ended);
        CHECK_FALSE(slow.is_cancelled("first"));
        slow.answer("first", whole_answer("first", 5));
        CHECK(slow.site.run_until([&] { return caller.is_ended; }));
        CHECK(caller.complete == 1);
        REQUIRE(!caller.bodies.empty());
        CHECK(caller.bodies[0] == 5);
    }
}

TEST_CASE("a waiting answer whose caller's deadline has passed does not cut the earlier one") {
    for (const std::size_t machine : {0U, 1U}) {
        CAPTURE(machine);
        long_answer_site slow(5s);
        pipelining_caller caller(slow, machine);
        caller.send("first");
        caller.send("long", 300ms);
        REQUIRE(slow.wait_for("first"));
        REQUIRE(slow.wait_for("long"));
        slow.answer("long", whole_answer("long", endless_body_bytes));
        slow.run_for(600ms);
        CHECK(slow.is_cancelled("long"));
        CHECK_FALSE(slow.is_cancelled("first"));
        CHECK_FALSE(caller.is_ended);
        slow.answer("first", whole_answer("first", 5));
        CHECK(slow.site.run_until([&] { return caller.is_ended; }));
        CHECK(caller.complete == 1);
        REQUIRE(!caller.bodies.empty());
        CHECK(caller.bodies[0] == 5);
    }
}
