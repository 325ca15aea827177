#include "embedded_response.hpp"

#include <algorithm>
#include <cctype>

namespace trefoil::http1 {
namespace {

/// A status line from its second letter on, up to its minor version.
constexpr std::string_view version = "TTP/1.";
/// Minor version, space and status, with 0 for any digit.
constexpr std::string_view status_pattern = "0 000";
/// Number of bytes from which a status line is known.
constexpr std::size_t status_line_bytes = version.size() + status_pattern.size();

bool is_digit(char c) {
    return c >= '0' && c <= '9';
}

std::string lower_case(std::string_view text) {
    std::string out(text);
    std::transform(out.begin(), out.end(), out.begin(),
                   [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return out;
}

} // namespace

std::size_t find_status_line(std::string_view text) {
    const auto matches = [](char found, char pattern) {
        return pattern == '0' ? is_digit(found) : found == pattern;
    };
    for (auto at = text.find(version); at != std::string_view::npos;
         at = text.find(version, at + 1)) {
        const auto rest = text.substr(at + version.size(), status_pattern.size());
        if (std::equal(rest.begin(), rest.end(), status_pattern.begin(), status_pattern.end(),
                       matches)) {
            return at;
        }
    }
    return std::string_view::npos;
}

void embedded_response_finder::reset() {
    tail_.clear();
    head_.clear();
}

void embedded_response_finder::feed(std::string_view body) {
    tail_.append(body);
    if (has_status_line()) {
        head_.append(body.substr(0, max_head_bytes - std::min(max_head_bytes, head_.size())));
    } else if (const auto at = find_status_line(tail_); at != std::string::npos) {
        head_ = tail_.substr(at, max_head_bytes);
    }
    tail_.erase(0, tail_.size() - std::min(tail_.size(), status_line_bytes));
}

std::string embedded_response_finder::field(std::string_view lower_case_name) const {
    std::string_view rest = head_;
    while (!rest.empty()) {
        const auto end = std::min(rest.find("\r\n"), rest.size());
        const auto line = rest.substr(0, end);
        rest.remove_prefix(std::min(end + 2, rest.size()));
        const auto colon = line.find(':');
        if (line.empty()) {
            break;
        }
        if (colon != std::string_view::npos &&
            lower_case(line.substr(0, colon)) == lower_case_name) {
            const auto start = std::min(line.find_first_not_of(" \t", colon + 1), line.size());
            return std::string(line.substr(start));
        }
    }
    return {};
}

bool embedded_response_finder::goes_on_in(std::string_view next_bytes) const {
    if (next_bytes.empty()) {
        return false;
    }
    const auto spanning = find_status_line(tail_ + std::string(next_bytes));
    // The rest of the status line may not have been read yet.
    const auto version_at = tail_.rfind(version);
    const bool ends_in_version =
        version_at != std::string::npos && tail_.size() - version_at <= version.size() + 2;
    return ends_in_version || (spanning != std::string::npos && spanning <= tail_.size());
}

} // namespace trefoil::http1
