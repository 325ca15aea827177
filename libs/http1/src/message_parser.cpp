#include <trefoil/http1/message_parser.hpp>

#include <limits>

#include "parser_core.hpp"

namespace trefoil::http1 {
namespace {

/// Maximum size of a response head in bytes.
constexpr std::size_t max_response_head_bytes = 65536;

/// Value of http_parser's `content_length` for a message without a Content-Length field.
constexpr auto unknown_length = std::numeric_limits<std::uint64_t>::max();

bool has_length(const http_parser& parser) {
    return parser.content_length != unknown_length && parser.content_length != 0;
}

bool fill_request(request_head& head, const http_parser& parser, bool) {
    head.method = http_method_str(static_cast<http_method>(parser.method));
    if ((parser.flags & F_CHUNKED) != 0) {
        head.framing = body_framing::chunked;
    } else if (has_length(parser)) {
        head.framing = body_framing::length;
        head.content_length = parser.content_length;
    }
    return true;
}

bool fill_response(response_head& head, const http_parser& parser, bool omits_body) {
    head.status = static_cast<int>(parser.status_code);
    if (!may_name_framing(head.status)) {
        return false;
    }
    head.omits_body = omits_body || head.status == 304;
    if ((parser.flags & F_CHUNKED) != 0) {
        head.framing = head.omits_body ? body_framing::none : body_framing::chunked;
    } else if (parser.content_length != unknown_length) {
        head.framing = body_framing::length;
        head.content_length = parser.content_length;
    } else {
        head.framing = head.omits_body ? body_framing::none : body_framing::connection_close;
    }
    return !head.omits_body;
}

} // namespace

struct request_parser::state : parser_core<request_head, request_event> {
    using parser_core::parser_core;
};

request_parser::request_parser(std::size_t max_head_bytes)
    : state_(std::make_unique<state>(HTTP_REQUEST, max_head_bytes, fill_request)) {}

request_parser::~request_parser() = default;

void request_parser::feed(std::string_view bytes, std::vector<request_event>& events) {
    state_->feed(bytes, events);
}

bool request_parser::is_in_head() const {
    return state_->is_in_head();
}

struct response_parser::state : parser_core<response_head, response_event> {
    using parser_core::parser_core;
};

response_parser::response_parser()
    : state_(std::make_unique<state>(HTTP_RESPONSE, max_response_head_bytes, fill_response)) {}

response_parser::~response_parser() = default;

void response_parser::expect_no_body() {
    state_->expect_no_body();
}

void response_parser::feed(std::string_view bytes, std::vector<response_event>& events) {
    state_->feed(bytes, events);
}

void response_parser::finish(std::vector<response_event>& events) {
    state_->finish(events);
}

} // namespace trefoil::http1
