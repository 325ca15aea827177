// Answers that a target sends twice, the second time late, whole or in part, beside the answers to
// the requests that follow on the connection.
#include <doctest/doctest.h>

#include <memory>
#include <string>
#include <vector>

#include <fmt/format.h>

#include "scripted_target.hpp"
#include "two_machine_site.hpp"

using namespace trefoil;

namespace {

/// Time between the arrival of a request and what the target sends before its answer.
constexpr duration lead_time = 5ms;
/// Time between a request's arrival and its own answer.
constexpr duration work_time = 15ms;

/// How an extra answer names the request that it belongs to.
enum class extra_id { repeated, missing, foreign };

std::string answer_text(int status, const std::string& id, const std::string& body) {
    const auto id_line = id.empty() ? std::string() : "id: " + id + "\r\n";
    return fmt::format("HTTP/1.1 {} Some reason\r\ndate: Mon, 03 Aug\r\n{}stamp: of {}\r\n"
                       "content-length: {}\r\n\r\n{}",
                       status, id_line, body, body.size(), body);
}

/// Two machines; only the target of machine 0 gets requests. It answers the first one with a
/// success and the second one with a failure. Between the two it sends extra bytes on the
/// connection of the first one.
struct stuttering_site {
    two_machine_site site;
    std::unique_ptr<scripted_target> target;
    /// Follows the first answer in the same write.
    std::string directly_after;
    /// Sent while the second request is worked on.
    std::vector<std::string> during_next;
    std::size_t first_connection = 0;
    /// Stands in front of each answer after the first one.
    std::string before_answer;

    stuttering_site() {
        site.targets[0].reset();
        target = std::make_unique<scripted_target>(
            &site.loop, endpoint{site.ip(0), site.target_port},
            [this](const scripted_request& request) { answer(request); });
        for (const std::size_t machine : {0U, 1U}) {
            site.change({site.instance(1, listed_state::draining)}, machine);
        }
    }

    void answer(const scripted_request& request) {
        if (request.number == 0) {
            first_connection = request.connection;
            target->send(request.connection,
                         answer_text(200, request.id, "first") + directly_after);
            return;
        }
        auto at = lead_time;
        for (const auto& bytes : during_next) {
            target->send_after(at, first_connection, bytes);
            at += 1ms;
        }
        auto text = before_answer + answer_text(500, request.id, "second");
        if (request.method == "HEAD") {
            text.erase(text.rfind("second"));
        }
        target->send_after(work_time, request.connection, text);
    }

    /// Sends the two requests, one after the other, and returns what the second caller gets.
    reply ask_twice(const std::string& second_id, std::size_t machine = 0,
                    const std::string& second_method = "GET") {
        const auto first = site.ask("/write/1", {}, machine);
        CHECK(first.status == 200);
        CHECK(first.body == "first");
        site.caller_id = second_id;
        site.caller_method = second_method;
        auto second = site.ask("/write/2", {}, machine);
        CHECK(target->requests == 2);
        return second;
    }
};

void check_own_answer(const reply& got) {
    CHECK(got.status == 500);
    CHECK(got.body == "second");
}

/// An answer of the proxy's own is allowed where the target's can't be told from other bytes.
void check_no_other_answer(const reply& got) {
    if (got.status != 502) {
        check_own_answer(got);
    }
}

std::string extra_answer(extra_id names) {
    const std::string id = names == extra_id::repeated  ? "caller-1"
                           : names == extra_id::missing ? ""
                                                        : "someone-else";
    return answer_text(200, id, "first");
}

} // namespace

TEST_CASE("an id that is sent again does not get the late answer of its earlier run") {
    for (const std::size_t machine : {0U, 1U}) {
        stuttering_site stutters;
        stutters.during_next = {extra_answer(extra_id::repeated)};
        check_own_answer(stutters.ask_twice("caller-1", machine));
    }
}

TEST_CASE("a late answer is not taken for that of the next request, whatever id it has") {
    for (const auto names : {extra_id::repeated, extra_id::missing, extra_id::foreign}) {
        for (const std::size_t machine : {0U, 1U}) {
            CAPTURE(static_cast<int>(names));
            CAPTURE(machine);
            stuttering_site stutters;
            stutters.during_next = {extra_answer(names), extra_answer(names), extra_answer(names)};
            check_own_answer(stutters.ask_twice("caller-2", machine));
        }
    }
}

TEST_CASE("a part of an extra answer that follows an answer does not begin the next one") {
    const auto extra = extra_answer(extra_id::repeated);
    for (std::size_t size = 1; size <= extra.size(); ++size) {
        CAPTURE(size);
        stuttering_site stutters;
        stutters.directly_after = extra.substr(0, size);
        check_own_answer(stutters.ask_twice("caller-2", size % 2));
    }
}

TEST_CASE("a part of an extra answer that comes late does not begin the answer of a request") {
    for (const auto names : {extra_id::repeated, extra_id::missing}) {
        const auto extra = extra_answer(names);
        for (std::size_t size = 1; size < extra.size(); ++size) {
            CAPTURE(static_cast<int>(names));
            CAPTURE(size);
            stuttering_site stutters;
            stutters.during_next = {extra.substr(0, size)};
            check_no_other_answer(stutters.ask_twice("caller-2", size % 2));
        }
    }
}

TEST_CASE("a request with HEAD gets its own answer after a target has sent an extra one") {
    for (const auto names : {extra_id::repeated, extra_id::missing}) {
        for (const std::size_t machine : {0U, 1U}) {
            CAPTURE(static_cast<int>(names));
            CAPTURE(machine);
            stuttering_site stutters;
            // The body is a whole answer.
            stutters.during_next = {answer_text(200, names == extra_id::missing ? "" : "caller-1",
                                                answer_text(200, "caller-2", ""))};
            const auto got = stutters.ask_twice("caller-2", machine, "HEAD");
            CHECK(got.status == 500);
        }
    }
}

TEST_CASE("an interim response does not end the answer to a request with HEAD") {
    stuttering_site stutters;
    stutters.before_answer = "HTTP/1.1 103 Early Hints\r\n\r\n";
    const auto got = stutters.ask_twice("caller-2", 0, "HEAD");
    CHECK(got.status == 500);
    stutters.site.caller_id = "caller-3";
    CHECK(stutters.site.ask("/write/3").status == 500);
}
