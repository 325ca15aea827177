#include "response_check.hpp"

#include <algorithm>
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

bool is_token_character(char c) {
    static constexpr std::string_view marks = "!#$%&'*+-.^_`|~";
    const bool is_digit = c >= '0' && c <= '9';
    const bool is_letter = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
    return is_digit || is_letter || marks.find(c) != std::string_view::npos;
}

bool is_control(unsigned char c) {
    constexpr unsigned char del = 0x7f;
    return c == del || (c < ' ' && c != '\t');
}

bool has_body(const response_head& head) {
    return !head.omits_body && !has_no_body(head.status);
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
    const auto has_name = [](const http_header& field) { return field.name == name; };
    const auto count = std::count_if(head.headers.begin(), head.headers.end(), has_name);
    if (count == 0 || !has_body(head)) {
        return false;
    }
    auto coding = find_header(head.headers, name);
    coding = coding.substr(0, coding.find_last_not_of(" \t") + 1);
    return count > 1 || head.framing != body_framing::chunked || !is_chunked(coding);
}

} // namespace

std::size_t token_length(std::string_view text) {
    const auto* end = std::find_if_not(text.begin(), text.end(), is_token_character);
    return static_cast<std::size_t>(end - text.begin());
}

std::size_t text_length(std::string_view text) {
    const auto* end = std::find_if(text.begin(), text.end(), is_control);
    return static_cast<std::size_t>(end - text.begin());
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
