#include "section_lines.hpp"

#include <algorithm>

namespace trefoil::http1 {

void section_lines::expect_head() {
    position_ = position::before;
    is_line_empty_ = true;
    is_after_cr_ = false;
    start_.clear();
}

void section_lines::expect_trailers() {
    expect_head();
    position_ = position::within;
}

std::size_t section_lines::read(std::string_view bytes) {
    std::size_t at = 0;
    if (position_ == position::before) {
        at = std::min(bytes.find_first_not_of("\r\n"), bytes.size());
        position_ = at < bytes.size() ? position::within : position::before;
    }
    if (position_ == position::within) {
        start_.append(bytes.substr(at, max_start_bytes - start_.size()));
    }
    while (at < bytes.size() && position_ == position::within) {
        const auto rest = bytes.substr(at);
        const auto line = rest.substr(0, rest.find('\n'));
        const auto valid = valid_bytes(line);
        if (valid < line.size()) {
            return at + valid;
        }
        at += valid;
        if (valid < rest.size()) {
            end_line();
            ++at;
        }
    }
    return bytes.size();
}

std::size_t section_lines::valid_bytes(std::string_view line) {
    if (is_after_cr_ && !line.empty()) {
        return 0;
    }
    const auto cr = line.find('\r');
    if (cr != std::string_view::npos && cr + 1 < line.size()) {
        return cr + 1;
    }
    is_after_cr_ = is_after_cr_ || cr != std::string_view::npos;
    is_line_empty_ = is_line_empty_ && (line.empty() || cr == 0);
    return line.size();
}

void section_lines::end_line() {
    position_ = is_line_empty_ ? position::behind : position::within;
    is_line_empty_ = true;
    is_after_cr_ = false;
}

} // namespace trefoil::http1
