// Answers of a target that are no valid HTTP: a caller beside it and one on another machine get a
// 502 and nothing of them.
#include <doctest/doctest.h>

#include <algorithm>
#include <memory>
#include <string>

#include <fmt/format.h>

#include "scripted_site.hpp"

using namespace trefoil;

namespace {

const std::string sound_rest = "content-length: 4\r\n\r\nbody";

/// A part of the target's answers that makes them invalid.
struct broken_form {
    std::string version = "HTTP/1.1";
    std::string status = "200 OK";
    std::string rest = sound_rest;
};

/// Checks what a caller gets of an invalid answer, and that the target gets the request, which must
/// not be repeated, once.
void check_refused(scripted_site& scripted, std::size_t machine, const std::string& method) {
    const auto before = scripted.target->requests;
    const auto got = scripted.ask(machine, method);
    CHECK(got.status == 502);
    CHECK_FALSE(got.has_failed);
    CHECK(field(got, "stamp").empty());
    CHECK(field(got, fields.not_executed).empty());
    CHECK(got.body.find("body") == std::string::npos);
    CHECK(scripted.target->requests == before + 1);
}

/// Checks that the connection of an invalid answer ends and that the next answer arrives.
void check_goes_on(scripted_site& scripted, std::size_t machine) {
    const auto broken = scripted.last_connection;
    CHECK(scripted.site.run_until([&] { return !scripted.target->is_open(broken); }));
    scripted.version = "HTTP/1.1";
    scripted.status = "200 OK";
    scripted.answer_rest = sound_rest;
    const auto got = scripted.ask(machine);
    CHECK(got.status == 200);
    CHECK(got.body == "body");
}

void check_never_arrives(const broken_form& broken, const std::string& method = "GET") {
    CAPTURE(broken.version);
    CAPTURE(broken.status);
    CAPTURE(broken.rest);
    scripted_site scripted;
    for (const std::size_t machine : {0U, 1U}) {
        CAPTURE(machine);
        scripted.version = broken.version;
        scripted.status = broken.status;
        scripted.answer_rest = broken.rest;
        check_refused(scripted, machine, method);
        check_goes_on(scripted, machine);
    }
}

} // namespace

TEST_CASE("an answer whose status is none never reaches a caller") {
    for (const std::string status :
         {"000 OK", "000", "000 ", "099 Low", "600 High", "999 High", "20 Short", "2 Short", "0 -",
          "0200 Long", "1000 Long", " 200 Blank", "+20 Sign", "2x0 Letter"}) {
        check_never_arrives({.status = status});
    }
    check_never_arrives({.status = "000 OK", .rest = "content-length: 0\r\n\r\n"});
    check_never_arrives({.status = "000 OK", .rest = "content-length: 4\r\n\r\n"}, "HEAD");
    check_never_arrives({.status = "099 Low\r\n\r\nHTTP/1.1 200 OK"});
    check_never_arrives({.status = "103 Early Hints\r\n\r\nHTTP/1.1 000 OK"});
}

TEST_CASE("an answer with an invalid field never reaches a caller") {
    for (const std::string name : {"info ", "info  ", "in fo", "info\t", "in\x01fo", "\x7finfo",
                                   "in\nfo", "in\rfo", "\"info\"", "\x80info", "in/fo"}) {
        check_never_arrives({.rest = fmt::format("{}: 1\r\n{}", name, sound_rest)});
        check_never_arrives({.rest = fmt::format("content-length: 4\r\n{}: 1\r\n\r\nbody", name)});
    }
    check_never_arrives({.rest = std::string("in\0fo: 1\r\n", 10) + sound_rest});
    for (const std::string framing : {"content-length : 2\r\n\r\nbody",
                                      "transfer-encoding : chunked\r\n\r\n2\r\nbo\r\n0\r\n\r\n"}) {
        check_never_arrives({.rest = framing});
    }
    check_never_arrives({.status = "103 Early Hints\r\ninfo : 1\r\n\r\nHTTP/1.1 200 OK"});
    check_never_arrives({.rest = "info : 1\r\ncontent-length: 4\r\n\r\n"}, "HEAD");
}

TEST_CASE("an answer with a control byte at the start of a field's value never reaches a caller") {
    for (const std::string value : {"\x01", "\x01info", "\x7finfo", "\x0binfo", "\r\n \x01info"}) {
        check_never_arrives({.rest = fmt::format("info: {}\r\n{}", value, sound_rest)});
    }
    check_never_arrives({.rest = std::string("info: \0info\r\n", 13) + sound_rest});
}

TEST_CASE("an answer with unusual but valid fields arrives") {
    scripted_site scripted;
    scripted.answer_rest =
        "!#$%&'*+-.^_`|~09Az: token\r\nempty:\r\nblank: \t \r\nhigh: \x80\xff\r\n"
        "folded: 1\r\n 2\r\n\t3\r\n" +
        sound_rest;
    for (const std::size_t machine : {0U, 1U}) {
        CAPTURE(machine);
        const auto got = scripted.ask(machine);
        CHECK(got.status == 200);
        CHECK(got.body == "body");
        CHECK(field(got, "!#$%&'*+-.^_`|~09az") == "token");
        CHECK(field(got, "high") == "\x80\xff");
        CHECK(field(got, "folded").starts_with("1"));
        for (const std::string name : {"empty", "blank"}) {
            CHECK(std::any_of(got.headers.begin(), got.headers.end(), [&](const http_header& each) {
                return each.name == name && each.value.empty();
            }));
        }
    }
}

TEST_CASE("an answer whose version is not HTTP/1.x never reaches a caller") {
    for (const std::string version : {"HTTP/0.9", "HTTP/2.0", "HTTP/9.9", "HXYZ/1.1"}) {
        check_never_arrives({.version = version});
    }
}

TEST_CASE("an answer with a control byte in its reason never reaches a caller") {
    for (const std::string reason : {"O\x01K", "O\x0bK", "O\x1bK", "OK\x7f"}) {
        check_never_arrives({.status = "404 " + reason});
    }
    check_never_arrives({.status = std::string("200 O\0K", 7)});
}

TEST_CASE("an answer with a CR in its head that no LF follows never reaches a caller") {
    check_never_arrives({.status = "200 O\rK"});
    check_never_arrives({.status = "404 Not\rFound"});
    check_never_arrives({.status = "404\rX"});
    check_never_arrives({.rest = "content-length: 4\r\n\rbody"});
    check_never_arrives({.rest = "\rinfo: 1\r\n" + sound_rest});
    check_never_arrives({.status = "103 Early Hints\r\n\rXHTTP/1.1 200 OK"});
}

TEST_CASE("an answer with a transfer coding other than chunked never reaches a caller") {
    for (const std::string coding : {"gzip", "gzip, chunked", "chunked, gzip", "identity",
                                     "deflate", "chunked\r\ntransfer-encoding: chunked"}) {
        check_never_arrives(
            {.rest = "transfer-encoding: " + coding + "\r\n\r\n4\r\nbody\r\n0\r\n\r\n"});
    }
}

TEST_CASE("an answer whose chunks don't end with their lines never reaches a caller") {
    for (const std::string body :
         {"4\r\nbodyXX0\r\n\r\n", "4\r\nbody\nX0\r\n\r\n", "2\r\nbody0\r\n\r\n",
          "4\rXbody\r\n0\r\n\r\n", "4\r\nbody\r\n0\rX\r\n", "4\r\nbody\r\n0\r\n\rX"}) {
        check_never_arrives({.rest = "transfer-encoding: chunked\r\n\r\n" + body});
    }
}

TEST_CASE("a request is sent again after an invalid answer only if it may be repeated") {
    two_machine_site site;
    site.targets[0].reset();
    std::unique_ptr<scripted_target> target;
    target = std::make_unique<scripted_target>(
        &site.loop, endpoint{site.ip(0), site.target_port}, [&](const scripted_request& request) {
            target->send(request.connection,
                         "HTTP/1.1 000 OK\r\nid: " + request.id + "\r\nstamp: s\r\n" + sound_rest);
        });
    std::size_t sent = 0;
    const auto ask = [&](const std::string& path) {
        site.caller_id = "caller-" + std::to_string(++sent);
        return site.ask(path);
    };
    CHECK(ask("/write/1").status == 502);
    CHECK(target->requests + site.reached(1) == sent);
    while (target->requests < 2 && sent < 20) {
        CHECK(ask("/read/1").status == 200);
    }
    CHECK(target->requests == 2);
}

TEST_CASE("answers with unusual statuses arrive") {
    scripted_site scripted;
    for (const std::string status : {"200", "200 ", "200  two", "299 Own", "404", "599 Last"}) {
        CAPTURE(status);
        scripted.status = status;
        scripted.answer_rest = sound_rest;
        for (const std::size_t machine : {0U, 1U}) {
            CAPTURE(machine);
            const auto got = scripted.ask(machine);
            CHECK(got.status == std::stoi(status));
            CHECK(got.body == "body");
        }
    }
}
