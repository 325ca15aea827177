// Responses that http_parser accepts and HTTP/1.1 doesn't allow.
#include <doctest/doctest.h>

#include <string>

#include <fmt/format.h>

#include "read_answers.hpp"

using namespace trefoil;
using namespace trefoil::http1;

TEST_CASE("an answer whose status is not three digits from 100 to 599 is refused") {
    for (const std::string status :
         {"000 OK", "000", "000 ", "099 X", "600 X", "999 X", "20 X", "2 X", "0", "0200 X",
          "1000 X", " 200 X", "+20 X", "2x0 X", "200OK"}) {
        const auto bytes = "HTTP/1.1 " + status + "\r\nid: 1\r\nContent-Length: 3\r\n\r\nabc";
        for (const std::size_t piece : {1000U, 7U, 1U}) {
            CAPTURE(bytes);
            CAPTURE(piece);
            CHECK(read_answers(bytes, true, piece) == "bad; ");
        }
    }
    for (const std::string status : {"200", "200 ", "200  two", "299 Own", "599 X"}) {
        CAPTURE(status);
        CHECK(read_answers("HTTP/1.1 " + status + "\r\nContent-Length: 3\r\n\r\nabc") ==
              status.substr(0, 3) + "; [abc]; end; ");
    }
}

TEST_CASE("an answer with a byte in the name of a field that is no token character is refused") {
    const std::string ends_of_names = "\r\n:";
    const std::string token_characters = "!#$%&'*+-.^_`|~0123456789"
                                         "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz";
    for (int code = 0; code < 256; ++code) {
        const std::string byte(1, static_cast<char>(code));
        if (ends_of_names.find(byte) != std::string::npos) {
            continue;
        }
        const bool is_token = token_characters.find(byte) != std::string::npos;
        const std::string expected = is_token ? "200; [abc]; end; " : "bad; ";
        for (const std::string& name : {"x" + byte, byte + "x", "x" + byte + "y"}) {
            for (const std::string& head :
                 {"HTTP/1.1 200 OK\r\n" + name + ": 1\r\nContent-Length: 3\r\n\r\n",
                  "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n" + name + ": 1\r\n\r\n"}) {
                CAPTURE(head);
                CHECK(read_answers(head + "abc") == expected);
            }
        }
    }
}

TEST_CASE("an invalid name of a field refuses interim answers and trailer sections too") {
    const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc";
    const std::string chunked =
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n";
    for (const std::string name : {"x ", "x y", " x", "x\t", "x\x01", "x\x7f", "\"x\"", "x/y"}) {
        for (const std::size_t piece : {1000U, 7U, 1U}) {
            CAPTURE(name);
            CAPTURE(piece);
            CHECK(read_answers(fmt::format("HTTP/1.1 103 -\r\n{}: 1\r\n\r\n{}", name, answer), true,
                               piece) == "bad; ");
            const auto read = read_answers(chunked + name + ": 1\r\n\r\n", true, piece);
            CHECK(read.starts_with("200; "));
            CHECK(read.ends_with("bad; "));
        }
    }
    CHECK(read_answers(chunked + "x-y: 1\r\n\r\n") == "200; [abc]; end; ");
}

TEST_CASE("an answer whose version is not HTTP/1.x is refused") {
    const std::string rest = " 200 OK\r\nid: 1\r\nContent-Length: 3\r\n\r\nabc";
    for (const std::string version : {"HTTP/0.9", "HTTP/2.0", "HTTP/9.9", "HXYZ/1.1", "HTTQ/1.1",
                                      "HTTP/1.10", "HTTP/01.1", "HTTP/1", "http/1.1", "ICY"}) {
        for (const std::size_t piece : {1000U, 7U, 1U}) {
            CAPTURE(version);
            CAPTURE(piece);
            CHECK(read_answers(version + rest, true, piece) == "bad; ");
        }
    }
    for (const std::string version : {"HTTP/1.0", "HTTP/1.1", "HTTP/1.2", "HTTP/1.9"}) {
        CAPTURE(version);
        CHECK(read_answers(version + rest) == "200; [abc]; end; ");
    }
}

TEST_CASE("an answer with a control byte in its reason is refused") {
    const std::string rest = "K\r\nid: 1\r\nContent-Length: 3\r\n\r\nabc";
    for (int code = 0; code < 256; ++code) {
        const std::string byte(1, static_cast<char>(code));
        if (byte == "\r" || byte == "\n") {
            continue;
        }
        const bool is_allowed = byte == "\t" || (code >= 0x20 && code != 0x7f);
        for (const std::size_t piece : {1000U, 1U}) {
            CAPTURE(code);
            CAPTURE(piece);
            const auto read =
                read_answers(fmt::format("HTTP/1.1 404 N{}{}", byte, rest), true, piece);
            CHECK((read == "bad; ") == !is_allowed);
        }
    }
}

TEST_CASE("an answer with a control byte in the value of a field is refused") {
    const std::string chunked =
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n";
    for (int code = 0; code < 256; ++code) {
        const std::string byte(1, static_cast<char>(code));
        if (byte == "\r" || byte == "\n") {
            continue;
        }
        const bool is_allowed = byte == "\t" || (code >= 0x20 && code != 0x7f);
        for (const std::string& field :
             {"x:" + byte, "x: " + byte, "x: " + byte + "b", "x: a" + byte, "x: a" + byte + "b",
              "x: a\r\n " + byte + "b", "x:\r\n " + byte}) {
            for (const std::size_t piece : {1000U, 1U}) {
                CAPTURE(field);
                CAPTURE(piece);
                const auto head = "HTTP/1.1 200 OK\r\n" + field + "\r\nContent-Length: 3\r\n\r\n";
                CHECK(read_answers(head + "abc", true, piece).ends_with("end; ") == is_allowed);
                const auto trailer = field + "\r\n\r\n";
                CHECK(read_answers(chunked + trailer, true, piece).ends_with("end; ") ==
                      is_allowed);
            }
        }
    }
}

TEST_CASE("an answer with a CR in its head that no LF follows is refused") {
    const std::string fields = "id: 1\r\nContent-Length: 3\r\n";
    for (const std::string& bytes :
         {"HTTP/1.1 200 O\rK\r\n" + fields + "\r\nabc", "HTTP/1.1 404\rX\r\n" + fields + "\r\nabc",
          "HTTP/1.1 200 OK\r\r\n" + fields + "\r\nabc", "HTTP/1.1 200 OK\r\n\rx: 1\r\n" + fields,
          "HTTP/1.1 200 OK\r\n" + fields + "\rXabc", "HTTP/1.1 200 OK\r\n" + fields + "\r\r\nabc",
          "HTTP/1.1 200 OK\r\nx:\rY: 2\r\n" + fields + "\r\nabc",
          "HTTP/1.1 200 OK\r\nx: 1\rY: 2\r\n" + fields + "\r\nabc",
          "HTTP/1.1 200 OK\r\nx\r: 1\r\n" + fields + "\r\nabc",
          "HTTP/1.1 103 -\r\n\rXHTTP/1.1 200 OK\r\n" + fields + "\r\nabc"}) {
        for (const std::size_t piece : {1000U, 7U, 1U}) {
            CAPTURE(bytes);
            CAPTURE(piece);
            CHECK(read_answers(bytes, true, piece) == "bad; ");
        }
    }
    for (const std::size_t piece : {1000U, 1U}) {
        CHECK(read_answers("HTTP/1.1 200 OK\nid: 1\nContent-Length: 3\n\n\ra\r", true, piece)
                  .ends_with("end; "));
    }
}

TEST_CASE("an answer with a transfer coding other than chunked is refused") {
    const std::string head = "HTTP/1.1 200 OK\r\nid: 1\r\nTransfer-Encoding: ";
    const std::string body = "\r\n\r\n3\r\nabc\r\n0\r\n\r\n";
    for (const std::string coding :
         {"gzip", "gzip, chunked", "chunked, gzip", "chunked, chunked", "identity",
          "identity, chunked", "", "chunked;q=1", "xchunked", "chunkedx", "\"chunked\"",
          "chunked\r\nTransfer-Encoding: chunked", "gzip\r\nTransfer-Encoding: chunked",
          "chunked\r\nTransfer-Encoding: gzip", "chunked\r\n gzip", "gzip\r\n chunked"}) {
        for (const std::size_t piece : {1000U, 7U, 1U}) {
            CAPTURE(coding);
            CAPTURE(piece);
            CHECK(read_answers(fmt::format("{}{}{}", head, coding, body), true, piece) == "bad; ");
        }
    }
    for (const std::string coding : {"chunked", "Chunked", "\r\n chunked", " \tchunked "}) {
        CAPTURE(coding);
        CHECK(read_answers(fmt::format("{}{}{}", head, coding, body), true) == "200; [abc]; end; ");
    }
}

TEST_CASE("an answer whose chunks don't end with their lines is refused") {
    const std::string head = "HTTP/1.1 200 OK\r\nid: 1\r\nTransfer-Encoding: chunked\r\n\r\n";
    for (const std::string body :
         {"3\r\nabcXX0\r\n\r\n", "3\r\nabc\nX0\r\n\r\n", "3\r\nabc\rX0\r\n\r\n",
          "3\r\nabcde\r\n0\r\n\r\n", "3\r\nabcd\r\n0\r\n\r\n", "3\r\nab\r\n0\r\n\r\n",
          "3\rXabc\r\n0\r\n\r\n", "3\nabc\r\n0\r\n\r\n", "3;x\rXabc\r\n0\r\n\r\n",
          "3\r\nabc\r\n0\rX\r\n", "3\r\nabc\r\n0\r\n\rX", "3\r\nabc\r\n0\r\nx:\rY\r\n\r\n",
          "3\r\nabc\r\n0\r\nx: y\r\n\rX", "3\r\nabc\n\n0\r\n\r\n"}) {
        for (const std::size_t piece : {1000U, 7U, 3U, 1U}) {
            CAPTURE(body);
            CAPTURE(piece);
            const auto read = read_answers(head + body, true, piece);
            CHECK(read.starts_with("200; "));
            CHECK(read.ends_with("bad; "));
            CHECK(read.find("end") == std::string::npos);
        }
    }
    for (const std::string body :
         {"3\r\nabc\r\n0\r\n\r\n", "3;x=y\r\n\r\r\n\r\n0\r\n\r\n", "3\r\nabc\r\n00\r\nx: y\r\n\r\n",
          "1\r\na\r\n2\r\nbc\r\n0\r\nx: y\r\n z\r\n\r\n"}) {
        for (const std::size_t piece : {1000U, 7U, 3U, 1U}) {
            CAPTURE(body);
            CAPTURE(piece);
            CHECK(read_answers(head + body, true, piece).ends_with("; end; "));
        }
    }
}
