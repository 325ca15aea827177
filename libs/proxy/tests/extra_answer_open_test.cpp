// Extra answers that are not told apart yet; this test is listed in KNOWN-RED.txt.
#include <doctest/doctest.h>

#include <set>
#include <string>
#include <vector>

#include <fmt/format.h>

#include "scripted_target.hpp"
#include "two_machine_site.hpp"

using namespace trefoil;

namespace {

enum class framing { length, chunked, until_close };

std::string body_of(const std::string& name, std::size_t size) {
    std::string made;
    while (made.size() < size) {
        made += name + ".";
    }
    made.resize(size);
    return made;
}

std::string answer_text(int status, const std::string& id, const std::string& body,
                        framing how = framing::length, const std::string& trailer = "") {
    const auto id_line = id.empty() ? std::string() : "id: " + id + "\r\n";
    auto head = fmt::format("HTTP/1.1 {} Some reason\r\ndate: Mon, 03 Aug\r\n{}stamp: of-{}\r\n",
                            status, id_line, body.substr(0, 3));
    if (how == framing::length) {
        return head + fmt::format("content-length: {}\r\n\r\n{}", body.size(), body);
    }
    if (how == framing::until_close) {
        return head + "\r\n" + body;
    }
    std::string text = head + "transfer-encoding: chunked\r\n\r\n";
    for (std::size_t at = 0; at < body.size(); at += 40) {
        const auto piece = body.substr(at, 40);
        text += fmt::format("{:x}\r\n{}\r\n", piece.size(), piece);
    }
    return text + "0\r\n" + trailer + "\r\n";
}

struct step {
    duration at;
    std::string bytes;
};

/// Target of machine 0: first request gets first_answer; the second gets the steps on its own
/// connection, and first_steps on the first connection.
struct scene {
    two_machine_site site;
    std::unique_ptr<scripted_target> target;
    std::string first_answer;
    std::vector<step> steps_on_first;
    std::vector<step> steps_on_own;
    /// In front of the own answer, in the same write if glued to it.
    std::string prefix;
    std::size_t first_connection = 0;

    scene() {
        site.targets[0].reset();
        target = std::make_unique<scripted_target>(
            &site.loop, endpoint{site.ip(0), site.target_port},
            [this](const scripted_request& request) {
                if (request.number == 0) {
                    first_connection = request.connection;
                    target->send(request.connection, first_answer);
                    return;
                }
                for (const auto& s : steps_on_first) {
                    target->send_after(s.at, first_connection, s.bytes);
                }
                // Extra answers belong to earlier requests of the same connection.
                const bool is_same = request.connection == first_connection;
                if (is_same && !prefix.empty()) {
                    target->send_after(11ms, first_connection, prefix);
                }
                for (const auto& s : steps_on_own) {
                    target->send_after(s.at, request.connection, s.bytes);
                }
            });
        for (const std::size_t machine : {0U, 1U}) {
            site.change({site.instance(1, listed_state::draining)}, machine);
        }
    }
    reply ask_first(std::size_t machine = 0) {
        site.caller_id = "caller-1";
        return site.ask("/write/1", {}, machine);
    }
    reply ask_second(const std::string& id = "caller-2", std::size_t machine = 0) {
        site.caller_id = id;
        return site.ask("/write/2", {}, machine);
    }
};

/// Whole answers that the target gave to the run: status and body.
void check_legit(const reply& got, const std::set<std::pair<int, std::string>>& legit) {
    if (got.has_failed || got.status == 502 || got.status == 504) {
        return;
    }
    CAPTURE(got.status);
    CAPTURE(got.body);
    CHECK(legit.count({got.status, got.body}) == 1);
}

const std::string first_text = answer_text(200, "caller-1", "first");

} // namespace

TEST_CASE("an extra answer without an id does not lengthen one that ends with its connection") {
    for (const auto& id : {std::string("caller-2"), std::string("caller-1"), std::string()}) {
        CAPTURE(id);
        scene s;
        s.first_answer = first_text;
        s.steps_on_own = {{5ms, answer_text(200, "caller-2", "whole body", framing::until_close)},
                          {8ms, answer_text(200, id, "extra")}};
        s.ask_first();
        s.site.caller_id = "caller-2";
        reply got;
        s.site.send(got, "/write/2");
        const auto end = uv_hrtime() + 60'000'000ULL;
        s.site.run_until([&] { return uv_hrtime() > end; });
        for (std::size_t c = 0; c < s.target->connections(); ++c) {
            s.target->close(c);
        }
        REQUIRE(s.site.run_until([&] { return got.is_finished; }));
        check_legit(got, {{200, "whole body"}});
    }
}

TEST_CASE("a late answer that fills a cut body to its end does not become a part of it") {
    for (const auto& id : {std::string("caller-1"), std::string()}) {
        const auto late = answer_text(200, id, "first");
        for (const auto how : {framing::length, framing::chunked}) {
            const auto body = body_of("own", 60);
            const auto own = answer_text(500, "caller-2", body, how);
            for (std::size_t size = 1; size < own.size(); size += 3) {
                for (std::size_t part = late.size(); part > 20; part /= 2) {
                    CAPTURE(id);
                    CAPTURE(static_cast<int>(how));
                    CAPTURE(size);
                    CAPTURE(part);
                    scene s;
                    s.first_answer = first_text;
                    s.steps_on_first = {{8ms, late.substr(0, part)}};
                    s.steps_on_own = {{5ms, own.substr(0, size)}, {11ms, own.substr(size)}};
                    s.ask_first();
                    const auto got = s.ask_second();
                    CAPTURE(got.body);
                    // The head's bytes are those of the run.
                    const bool is_whole = !got.has_failed && got.status != 502 && got.status != 504;
                    if (is_whole) {
                        CHECK(got.status == 500);
                        CHECK(got.body == body);
                    }
                }
            }
        }
    }
}

TEST_CASE("a target's failure without an id on a used connection is not held until the timeout") {
    scene s;
    s.first_answer = first_text;
    s.steps_on_own = {{5ms, answer_text(500, "", "own")}};
    s.ask_first();
    const auto began = uv_hrtime();
    const auto got = s.ask_second();
    CHECK((uv_hrtime() - began) / 1'000'000 < 400);
    check_legit(got, {{500, "own"}});
}
