// Incremental parsers for HTTP/1.1 requests and responses.
#pragma once

#include <memory>
#include <string_view>
#include <vector>

#include <trefoil/http1/message.hpp>

namespace trefoil::http1 {

/// Parses the requests of one connection, including pipelined ones. The input may be split at any
/// byte.
class request_parser {
public:
    /// A request head larger than `max_head_bytes` gives parse_failure::head_too_large.
    explicit request_parser(std::size_t max_head_bytes);
    ~request_parser();
    request_parser(const request_parser&) = delete;
    request_parser& operator=(const request_parser&) = delete;

    /// Parses the bytes and appends the resulting events. Input after a parse_failure is ignored.
    void feed(std::string_view bytes, std::vector<request_event>& events);

    /// True if the start of a request head has been read, but not yet its end.
    bool is_in_head() const;

private:
    struct state;
    std::unique_ptr<state> state_;
};

/// Parses the responses of one connection. The input may be split at any byte.
class response_parser {
public:
    response_parser();
    ~response_parser();
    response_parser(const response_parser&) = delete;
    response_parser& operator=(const response_parser&) = delete;

    /// Treats the next final response as one without a body, whatever its header fields say. Used
    /// for responses to HEAD requests.
    void expect_no_body();

    /// Parses the bytes and appends the resulting events. Input after a parse_failure is ignored.
    void feed(std::string_view bytes, std::vector<response_event>& events);

    /// Signals that the peer closed the connection in an orderly way. Completes a response that is
    /// delimited by the end of the connection, or reports a truncated response.
    void finish(std::vector<response_event>& events);

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace trefoil::http1
