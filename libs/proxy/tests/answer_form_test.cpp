// Forms that HTTP/1.1 allows for answers of a target, as a caller beside it and one on another
// machine get them.
#include <doctest/doctest.h>

#include <algorithm>
#include <string>

#include "scripted_site.hpp"

using namespace trefoil;

TEST_CASE("trailer fields of an answer harm neither it nor the next answers") {
    scripted_site scripted;
    scripted.answer_rest = "transfer-encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\ntiming: 12\r\n\r\n";
    for (const std::size_t machine : {0U, 1U}) {
        CAPTURE(machine);
        for (int i = 0; i < 3; ++i) {
            const auto got = scripted.ask(machine);
            CHECK(got.status == 200);
            CHECK(got.body == "body");
            CHECK(field(got, "id") == scripted.site.caller_id);
            CHECK(std::none_of(got.headers.begin(), got.headers.end(),
                               [](const http_header& each) { return each.name.empty(); }));
        }
    }
}

TEST_CASE("an answer with status 304 arrives with the length that it names and no body") {
    scripted_site scripted;
    scripted.status = "304 Not Modified";
    scripted.answer_rest = "content-length: 10\r\n\r\n";
    for (const std::size_t machine : {0U, 1U}) {
        CAPTURE(machine);
        for (int i = 0; i < 2; ++i) {
            const auto got = scripted.ask(machine);
            CHECK(got.status == 304);
            CHECK(field(got, "content-length") == "10");
            CHECK(got.body.empty());
            CHECK_FALSE(got.has_failed);
        }
    }
    scripted.answer_rest = "\r\n";
    CHECK(field(scripted.ask(1), "content-length").empty());
}

TEST_CASE("an answer with status 204 or 205 arrives without a body, whatever framing it names") {
    scripted_site scripted;
    for (const std::size_t machine : {0U, 1U}) {
        CAPTURE(machine);
        scripted.status = "204 No Content";
        for (const std::string framing :
             {"", "content-length: 10\r\n", "transfer-encoding: chunked\r\n"}) {
            CAPTURE(framing);
            scripted.answer_rest = framing + "\r\n";
            const auto got = scripted.ask(machine);
            CHECK(got.status == 204);
            CHECK(field(got, "content-length").empty());
            CHECK(field(got, "transfer-encoding").empty());
            CHECK_FALSE(got.has_failed);
        }
        scripted.status = "205 Reset Content";
        for (const std::string rest :
             {"content-length: 0\r\n\r\n", "transfer-encoding: chunked\r\n\r\n0\r\n\r\n"}) {
            CAPTURE(rest);
            scripted.answer_rest = rest;
            const auto got = scripted.ask(machine);
            CHECK(got.status == 205);
            CHECK(field(got, "content-length") == "0");
            CHECK(got.body.empty());
            CHECK_FALSE(got.has_failed);
        }
    }
}

TEST_CASE("an interim response that names a length does not hold up the answer") {
    scripted_site scripted;
    scripted.status = "103 Early Hints\r\ncontent-length: 10\r\n\r\nHTTP/1.1 200 OK";
    scripted.answer_rest = "content-length: 4\r\n\r\nbody";
    for (const std::size_t machine : {0U, 1U}) {
        CAPTURE(machine);
        const auto got = scripted.ask(machine);
        CHECK(got.status == 200);
        CHECK(got.body == "body");
    }
}

TEST_CASE("an answer to HEAD arrives with the length that it names and no body") {
    scripted_site scripted;
    for (const std::size_t machine : {0U, 1U}) {
        CAPTURE(machine);
        for (const std::string status : {"200 OK", "304 Not Modified", "404 Not Found"}) {
            for (const std::string length : {"10", "0", "5000000000"}) {
                CAPTURE(status);
                CAPTURE(length);
                scripted.status = status;
                scripted.answer_rest = "content-length: " + length + "\r\n\r\n";
                const auto got = scripted.ask(machine, "HEAD");
                CHECK(got.status == std::stoi(status));
                CHECK(field(got, "content-length") == length);
                CHECK(got.body.empty());
                CHECK_FALSE(got.has_failed);
            }
        }
    }
}

TEST_CASE("an answer to HEAD without a length arrives without one") {
    scripted_site scripted;
    for (const std::size_t machine : {0U, 1U}) {
        CAPTURE(machine);
        for (const std::string status : {"200 OK", "204 No Content", "304 Not Modified"}) {
            for (const std::string framing : {"", "transfer-encoding: chunked\r\n"}) {
                CAPTURE(status);
                CAPTURE(framing);
                scripted.status = status;
                scripted.answer_rest = framing + "\r\n";
                const auto got = scripted.ask(machine, "HEAD");
                CHECK(got.status == std::stoi(status));
                CHECK(field(got, "content-length").empty());
                CHECK(field(got, "transfer-encoding").empty());
                CHECK(got.body.empty());
                CHECK_FALSE(got.has_failed);
            }
        }
    }
}
