#include "response_check.hpp"

#include <algorithm>
#include <array>
#include <cctype>

#include <trefoil/http1/header_rules.hpp>

#include "section_lines.hpp"

namespace trefoil::http1 {
namespace {

constexpr std::string_view version_start = "HTTP/1.";
constexpr std::size_t status_at = 9;
constexpr std::size_t status_digits = 3;

/// True if the status has three digits and is from 100 to 599 (RFC 9112 4, RFC 9110 15).
bool has_valid_status(std::string_view line_start) {
    const auto status = line_start.substr(status_at, status_digits);
    const bool has_digits =
        std::all_of(status.begin(), status.end(), [](char c) { return c >= '0' && c <= '9'; });
    const bool is_in_range = status.front() >= '1' && status.front() <= '5';
    const auto next = line_start[status_at + status_digits];
    return has_digits && is_in_range && (next == ' ' || next == '\r' || next == '\n');
}

/// For each byte, whether it belongs to a set.
using byte_set = std::array<bool, 256>;

constexpr byte_set make_token_characters() {
    byte_set set{};
    for (const unsigned char c : std::string_view("!#$%&'*+-.^_`|~0123456789"
                                                  "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
                                                  "abcdefghijklmnopqrstuvwxyz")) {
        set[c] = true;
    }
    return set;
}

constexpr byte_set make_text_characters() {
    constexpr std::size_t del = 0x7f;
    byte_set set{};
    for (std::size_t c = ' '; c < set.size(); ++c) {
        set[c] = c != del;
    }
    set['\t'] = true;
    return set;
}

constexpr auto token_characters = make_token_characters();
constexpr auto text_characters = make_text_characters();

/// Returns the length of the longest part at the start of the text whose bytes are in the set.
std::size_t length_within(const byte_set& set, std::string_view text) {
    const auto* end =
        std::find_if_not(text.begin(), text.end(), [&](unsigned char c) { return set[c]; });
    return static_cast<std::size_t>(end - text.begin());
}

/// True if the framing leaves room for a Transfer-Encoding field: the parser refuses one beside a
/// Content-Length field.
bool may_be_coded(const response_head& head) {
    return head.framing == body_framing::chunked || head.framing == body_framing::connection_close;
}

/// True for `chunked` in upper or lower case.
bool is_chunked(std::string_view coding) {
    constexpr std::string_view chunked = "chunked";
    return std::equal(coding.begin(), coding.end(), chunked.begin(), chunked.end(),
                      [](unsigned char c, char expected) { return std::tolower(c) == expected; });
}

/// True if the body of the response has a transfer coding that is not decoded here: any but chunked
/// alone (RFC 9112 6.1). The value of the field may have blanks behind it.
bool has_unknown_coding(const response_head& head) {
    static constexpr std::string_view name = "transfer-encoding";
    if (!may_be_coded(head)) {
        return false;
    }
    const auto has_name = [](const http_header& field) { return field.name == name; };
    const auto count = std::count_if(head.headers.begin(), head.headers.end(), has_name);
    if (count == 0) {
        return false;
    }
    auto coding = find_header(head.headers, name);
    coding = coding.substr(0, coding.find_last_not_of(" \t") + 1);
    return count > 1 || head.framing != body_framing::chunked || !is_chunked(coding);
}

} // namespace

std::size_t token_length(std::string_view text) {
    return length_within(token_characters, text);
}

std::size_t text_length(std::string_view text) {
    return length_within(text_characters, text);
}

std::optional<parse_failure> check_response(const response_head& head,
                                            std::string_view line_start) {
    if (!line_start.starts_with(version_start)) {
        return parse_failure::bad_version;
    }
    if (line_start.size() < section_lines::max_start_bytes || !has_valid_status(line_start)) {
        return parse_failure::bad_status;
    }
    if (text_length(head.reason) < head.reason.size()) {
        return parse_failure::bad_reason;
    }
    if (has_unknown_coding(head)) {
        return parse_failure::bad_coding;
    }
    return std::nullopt;
}

} // namespace trefoil::http1
