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
        if (!take(bytes[at])) {
            return at;
        }
        ++at;
    }
    return bytes.size();
}

bool section_lines::take(char c) {
    if (is_after_cr_ && c != '\n') {
        return false;
    }
    is_after_cr_ = c == '\r';
    if (c == '\n') {
        position_ = is_line_empty_ ? position::behind : position::within;
        is_line_empty_ = true;
    } else if (c != '\r') {
        is_line_empty_ = false;
    }
    return true;
}

} // namespace trefoil::http1
