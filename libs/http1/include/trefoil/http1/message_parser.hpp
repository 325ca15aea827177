// Turns bytes into messages.
#pragma once

#include <memory>
#include <string_view>
#include <vector>

#include <trefoil/http1/message.hpp>

namespace trefoil::http1 {

/// Reads the requests that a client sends on one connection. Bytes may come in any pieces.
class request_parser {
public:
    explicit request_parser(std::size_t max_head_bytes);
    ~request_parser();
    request_parser(const request_parser&) = delete;
    request_parser& operator=(const request_parser&) = delete;

    /// Appends what the bytes hold to the events. After a parse_failure nothing more is read.
    void feed(std::string_view bytes, std::vector<request_event>& events);

    /// True between the first byte of a head and its end.
    bool is_in_head() const;

private:
    struct state;
    std::unique_ptr<state> state_;
};

/// Reads the answers that come on one connection.
class response_parser {
public:
    response_parser();
    ~response_parser();
    response_parser(const response_parser&) = delete;
    response_parser& operator=(const response_parser&) = delete;

    /// The next answer has no body, whatever its headers say, since the request was a HEAD.
    void expect_no_body();

    /// Appends what the bytes hold to the events.
    void feed(std::string_view bytes, std::vector<response_event>& events);

    /// The connection ended in an orderly way: completes an answer that has no other mark of its
    /// end, or reports one that is cut off.
    void finish(std::vector<response_event>& events);

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace trefoil::http1
