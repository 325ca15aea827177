#include <trefoil/http1/message.hpp>

#include <fmt/format.h>

namespace trefoil::http1 {
namespace {

void append_headers(std::string& out, const std::vector<http_header>& headers) {
    for (const auto& field : headers) {
        out.append(field.name).append(": ").append(field.value).append("\r\n");
    }
}

void append_framing(std::string& out, body_framing framing, std::uint64_t length) {
    if (framing == body_framing::length) {
        out.append("content-length: ").append(std::to_string(length)).append("\r\n");
    } else if (framing == body_framing::chunked) {
        out.append("transfer-encoding: chunked\r\n");
    }
}

/// Returns the framing that a response head names.
body_framing named_framing(const response_head& head) {
    if (!may_name_framing(head.status)) {
        return body_framing::none;
    }
    const bool has_empty_body =
        head.framing == body_framing::none && !head.omits_body && !has_no_body(head.status);
    return has_empty_body ? body_framing::length : head.framing;
}

} // namespace

bool has_no_body(int status) {
    return status == 304 || !may_name_framing(status);
}

bool may_name_framing(int status) {
    return status != 204 && status / 100 != 1;
}

std::string to_bytes(const request_head& head) {
    std::string out;
    out.reserve(512);
    out.append(head.method).append(" ").append(head.target).append(" HTTP/1.1\r\n");
    append_headers(out, head.headers);
    append_framing(out, head.framing, head.content_length);
    return out.append("\r\n");
}

std::string to_bytes(const response_head& head, bool closes) {
    std::string out;
    out.reserve(512);
    out.append("HTTP/1.1 ").append(std::to_string(head.status)).append(" ");
    out.append(head.reason).append("\r\n");
    append_headers(out, head.headers);
    append_framing(out, named_framing(head),
                   head.framing == body_framing::length ? head.content_length : 0);
    if (closes) {
        out.append("connection: close\r\n");
    }
    return out.append("\r\n");
}

std::string to_chunk(std::string_view bytes) {
    return fmt::format("{:x}\r\n{}\r\n", bytes.size(), bytes);
}

} // namespace trefoil::http1
