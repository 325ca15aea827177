#include <doctest/doctest.h>

#include <algorithm>
#include <string>
#include <vector>

#include <fmt/format.h>

#include <trefoil/base/overloaded.hpp>
#include <trefoil/http1/header_rules.hpp>
#include <trefoil/http1/message_parser.hpp>

#include "message_sequence.hpp"
#include "read_answers.hpp"

using namespace trefoil;
using namespace trefoil::http1;

namespace {

std::string describe(const request_event& event) {
    return std::visit(
        overloaded{[](const request_head& head) { return head.method + " " + head.target; },
                   [](const body_piece& piece) { return "[" + piece.bytes + "]"; },
                   [](const message_end& end) -> std::string {
                       return end.keep_alive ? "end" : "end close";
                   },
                   [](parse_failure failure) -> std::string {
                       return failure == parse_failure::head_too_large ? "too large" : "bad";
                   }},
        event);
}

/// Parses the bytes of a connection in parts of the given size and returns the events as text.
std::string read_requests(const std::string& bytes, std::size_t piece = 1000) {
    request_parser parser(400);
    std::string all;
    for (std::size_t at = 0; at < bytes.size(); at += piece) {
        std::vector<request_event> events;
        parser.feed(std::string_view(bytes).substr(at, piece), events);
        for (const auto& event : events) {
            all += describe(event) + "; ";
        }
    }
    return all;
}

/// Returns the header fields and the ends of messages as text.
template <class Event>
std::string describe_fields(const std::vector<Event>& events) {
    std::string all;
    for (const auto& event : events) {
        std::visit(overloaded{[](const body_piece&) {}, [&](const message_end&) { all += "end; "; },
                              [&](parse_failure) { all += "failure; "; },
                              [&](const auto& head) {
                                  for (const auto& field : head.headers) {
                                      all += field.name + ": " + field.value + "; ";
                                  }
                              }},
                   event);
    }
    return all;
}

} // namespace

TEST_CASE("pipelined requests are read one after the other, in pieces of any size") {
    const std::string bytes = "GET /1 HTTP/1.1\r\nHost: a\r\n\r\n"
                              "POST /2 HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc"
                              "GET /3 HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
    CHECK(read_requests(bytes) == "GET /1; end; POST /2; [abc]; end; GET /3; end close; ");
    CHECK(read_requests(bytes, 1).find("GET /3; end close; ") != std::string::npos);
}

TEST_CASE("chunked bodies are read without their framing") {
    CHECK(read_requests("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
                        "3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n") == "POST /; [abc]; [de]; end; ");
}

TEST_CASE("no trailer field of a message reaches the next one of the connection") {
    const std::string trailers = "x-first: 1\r\nx-second: two\r\n";
    for (const std::size_t piece : {1000U, 7U, 1U}) {
        CAPTURE(piece);
        request_parser requests(400);
        const auto request_events = parse_connection<request_event>(
            requests,
            "POST /1 HTTP/1.1\r\na: 1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n" +
                trailers + "\r\nGET /2 HTTP/1.1\r\nb: 2\r\nc: 3\r\n\r\n",
            piece);
        CHECK(describe_fields(request_events) ==
              "a: 1; transfer-encoding: chunked; end; b: 2; c: 3; end; ");
        response_parser answers;
        const auto answer_events = parse_connection<response_event>(
            answers,
            "HTTP/1.1 200 OK\r\na: 1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n" +
                trailers + "\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
            piece);
        CHECK(describe_fields(answer_events) ==
              "a: 1; transfer-encoding: chunked; end; content-length: 0; end; ");
    }
}

TEST_CASE("a trailer section without end is refused at the size limit of a head") {
    const std::string head = "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n";
    const std::string field = "x: " + std::string(96, 'a') + "\r\n";
    CHECK(read_requests(head + field + field + field + field) == "POST /; ");
    CHECK(read_requests(head + field + field + field + field + field) == "POST /; too large; ");
    CHECK(read_requests(head + "x: " + std::string(500, 'a')) == "POST /; too large; ");
    CHECK(read_requests(head + std::string(500, 'x')) == "POST /; too large; ");
    CHECK(read_requests(head + field + field + field + "\r\n" + head) == "POST /; end; POST /; ");
}

TEST_CASE("requests with two framings are refused") {
    CHECK(read_requests("POST / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: "
                        "chunked\r\n\r\n0\r\n\r\n")
              .find("bad") != std::string::npos);
    CHECK(read_requests("POST / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd")
              .find("bad") != std::string::npos);
}

TEST_CASE("an upgrade is not offered, so what follows is the next request") {
    CHECK(read_requests("GET /1 HTTP/1.1\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n"
                        "GET /2 HTTP/1.1\r\n\r\n")
              .find("GET /2; end") != std::string::npos);
}

TEST_CASE("a request head above the size limit is refused") {
    CHECK(read_requests("GET / HTTP/1.1\r\nX: " + std::string(500, 'a') + "\r\n\r\n") ==
          "too large; ");
}

TEST_CASE("an answer without a length is complete only at an orderly end") {
    CHECK(read_answers("HTTP/1.1 200 OK\r\n\r\nabc") == "200; [abc]; ");
    CHECK(read_answers("HTTP/1.1 200 OK\r\n\r\nabc", true) == "200; [abc]; end; ");
    CHECK(read_answers("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nabc", true) ==
          "200; [abc]; bad; ");
}

TEST_CASE("an answer that ends within its head is never a complete answer") {
    const std::string framings[] = {"", "Content-Length: 0\r\n", "Content-Length: 5\r\n",
                                    "Transfer-Encoding: chunked\r\n", "Connection: close\r\n"};
    for (const auto& framing : framings) {
        const auto head = "HTTP/1.1 200 OK\r\nid: 1\r\n" + framing + "stamp: s\r\n\r\n";
        for (std::size_t length = 1; length < head.size(); ++length) {
            CHECK(read_answers(head.substr(0, length), true) == "bad; ");
        }
    }
}

TEST_CASE("a space before the colon refuses the message") {
    for (const std::string line : {"x : 1", "Content-Length : 0", "Transfer-Encoding : chunked"}) {
        CAPTURE(line);
        CHECK(read_requests("POST / HTTP/1.1\r\n" + line + "\r\na: b\r\n\r\n") == "bad; ");
        CHECK(read_requests("POST / HTTP/1.1\r\na: b\r\n" + line + "\r\n\r\n") == "bad; ");
        CHECK(read_answers("HTTP/1.1 200 OK\r\n" + line + "\r\na: b\r\n\r\nabc", true) == "bad; ");
        CHECK(read_answers("HTTP/1.1 200 OK\r\na: b\r\n" + line + "\r\n\r\nabc", true) == "bad; ");
    }
}

TEST_CASE("a space within the name of a field refuses the message") {
    CHECK(read_requests("GET / HTTP/1.1\r\nx y: 1\r\n\r\n") == "bad; ");
    CHECK(read_answers("HTTP/1.1 200 OK\r\nx y: 1\r\nContent-Length: 0\r\n\r\n") == "bad; ");
    CHECK(read_answers("HTTP/1.1 200 OK\r\nContent-Length: 0\r\nx y: 1\r\n\r\n") == "bad; ");
    CHECK(read_answers("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n : 1\r\n\r\n") == "bad; ");
}

TEST_CASE("an answer without a body by its status ends with its head, whatever it says of a body") {
    const std::string next = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    for (const std::string status : {"100", "103", "204", "304"}) {
        for (const std::string framing :
             {"", "Content-Length: 5\r\n", "Transfer-Encoding: chunked\r\n"}) {
            CAPTURE(status);
            CAPTURE(framing);
            const auto bytes = fmt::format("HTTP/1.1 {} -\r\n{}\r\n{}", status, framing, next);
            CHECK(read_answers(bytes) == status + "; end; 200; [ok]; end; ");
        }
    }
}

TEST_CASE("an answer with status 205 has the body that its fields name") {
    const std::string next = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    CHECK(read_answers("HTTP/1.1 205 -\r\nContent-Length: 0\r\n\r\n" + next) ==
          "205; end; 200; [ok]; end; ");
    CHECK(read_answers("HTTP/1.1 205 -\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + next) ==
          "205; end; 200; [ok]; end; ");
    CHECK(read_answers("HTTP/1.1 205 -\r\nContent-Length: 3\r\n\r\nabc" + next) ==
          "205; [abc]; end; 200; [ok]; end; ");
}

TEST_CASE("bytes that are not a valid response are reported") {
    CHECK(read_answers("garbage") == "bad; ");
    CHECK(read_answers("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nagarbage") ==
          "200; [a]; end; bad; ");
}

namespace {

/// Requests in the forms in which something of one could stay behind for the next.
const std::vector<std::string> request_forms = {
    "GET /1 HTTP/1.1\r\nHost: a\r\n\r\n",
    "\r\nHEAD /2 HTTP/1.1\r\nEmpty:\r\n\r\n",
    "POST /3 HTTP/1.1\r\nContent-Length: 3\r\n\r\nabc",
    "POST /4 HTTP/1.1\r\nContent-Length: 0\r\n\r\n",
    "POST /5 HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3;x=y\r\nabc\r\n0\r\n\r\n",
    "POST /6 HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\nx: y\r\nz: w\r\n\r\n",
    "POST /7 HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nContent-Length: 9\r\n\r\n",
    "POST /8 HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nTransfer-Encoding: gzip\r\n\r\n",
    "POST /9 HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nConnection: close\r\n\r\n",
    "POST /10 HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nempty:\r\n\r\n",
    "GET /11 HTTP/1.1\r\nConnection: close\r\n\r\n",
    "GET /12 HTTP/1.0\r\nConnection: keep-alive\r\n\r\n",
    "GET /13 HTTP/1.1\r\nConnection: upgrade\r\nUpgrade: x\r\nContent-Length: 2\r\n\r\nab",
    "CONNECT a:1 HTTP/1.1\r\n\r\n",
};

/// Responses of the same kind; all but the last leave the connection open.
const std::vector<std::string> response_forms = {
    "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc",
    "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nEmpty:\r\n\r\n",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3;x=y\r\nabc\r\n0\r\n\r\n",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\nx: y\r\nz: w\r\n\r\n",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nContent-Length: 9\r\n\r\n",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nTransfer-Encoding: gzip\r\n\r\n",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nConnection: close\r\n\r\n",
    "HTTP/1.1 103 Early Hints\r\nContent-Length: 3\r\n\r\n",
    "HTTP/1.1 204 No Content\r\n\r\n",
    "HTTP/1.1 204\r\nTransfer-Encoding: chunked\r\n\r\n",
    "HTTP/1.1 304 Not Modified\r\nContent-Length: 3\r\n\r\n",
    "HTTP/1.1 205 Reset\r\nContent-Length: 0\r\nConnection: close\r\n\r\n",
    "HTTP/1.0 200 OK\r\nConnection: keep-alive\r\nContent-Length: 1\r\n\r\na",
    "HTTP/1.1 101 Switching\r\nConnection: upgrade\r\nUpgrade: x\r\n\r\n",
    "HTTP/1.1 200 OK\r\n\r\nrest",
};

/// Calls a function for all sequences of one to three forms.
template <class Function>
void for_each_sequence(const std::vector<std::string>& forms, Function call) {
    for (const auto& first : forms) {
        call({first});
        for (const auto& second : forms) {
            call({first, second});
            for (const auto& third : forms) {
                call({first, second, third});
            }
        }
    }
}

std::string joined(const std::vector<std::string>& parts) {
    std::string all;
    for (const auto& part : parts) {
        all += part;
    }
    return all;
}

/// Removes the body of the first final response.
void remove_first_body(std::vector<std::string>& responses) {
    const auto found =
        std::find_if(responses.begin(), responses.end(),
                     [](const std::string& response) { return response.find(" 10") != 8; });
    if (found != responses.end()) {
        found->resize(found->find("\r\n\r\n") + 4);
    }
}

} // namespace

TEST_CASE("requests of one connection are read as each would be on a connection of its own") {
    for_each_sequence(request_forms, [](const std::vector<std::string>& requests) {
        std::vector<request_event> expected;
        for (const auto& request : requests) {
            parse_alone(expected, request, 400);
        }
        for (const std::size_t piece : {1U, 2U, 7U, 1000U}) {
            CAPTURE(joined(requests));
            CAPTURE(piece);
            request_parser parser(400);
            CHECK(parse_connection<request_event>(parser, joined(requests), piece) == expected);
        }
    });
}

TEST_CASE("responses of one connection are read as each would be on a connection of its own") {
    for (const bool is_for_head : {false, true}) {
        for_each_sequence(response_forms, [&](std::vector<std::string> responses) {
            const bool is_closed_early = std::find(responses.begin(), responses.end() - 1,
                                                   response_forms.back()) != responses.end() - 1;
            if (is_closed_early) {
                return;
            }
            if (is_for_head) {
                remove_first_body(responses);
            }
            std::vector<response_event> expected;
            bool expects_no_body = is_for_head;
            for (const auto& response : responses) {
                parse_alone(expected, response, expects_no_body);
            }
            for (const std::size_t piece : {1U, 2U, 7U, 1000U}) {
                CAPTURE(is_for_head);
                CAPTURE(joined(responses));
                CAPTURE(piece);
                response_parser parser;
                if (is_for_head) {
                    parser.expect_no_body();
                }
                CHECK(parse_connection<response_event>(parser, joined(responses), piece) ==
                      expected);
            }
        });
    }
}

TEST_CASE("fields that concern one connection are not passed on") {
    const std::vector<http_header> headers = {
        {"host", "a"},       {"connection", "close, X-Hop"}, {"x-hop", "1"},
        {"keep-alive", "5"}, {"transfer-encoding", "x"},     {"date", "d"}};
    CHECK(end_to_end_headers(headers) == std::vector<http_header>{{"host", "a"}, {"date", "d"}});
}
