// Finds another response within the body of a response.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace trefoil::http1 {

/// Returns the position of the first status line in the text, or npos. The first letter of the line
/// need not be there: the parser can take it for the end of the line before.
std::size_t find_status_line(std::string_view text);

/// Reads a body piece by piece. Where a peer breaks off a response and sends another one behind it,
/// the bytes of the second are read as the rest of the first one's body.
class embedded_response_finder {
public:
    /// Begins a new body.
    void reset();
    void feed(std::string_view body);

    /// True if a status line stands within the body.
    bool has_status_line() const { return !head_.empty(); }

    /// Value of a field of the head that begins with the first status line; empty if there is none.
    std::string field(std::string_view lower_case_name) const;

    /// True if a status line begins at the end of the body and goes on in the bytes behind it.
    bool goes_on_in(std::string_view next_bytes) const;

private:
    /// Maximum number of bytes of a head that are looked at.
    static constexpr std::size_t max_head_bytes = 2048;

    /// The last bytes of the body.
    std::string tail_;
    /// The body from its first status line on.
    std::string head_;
};

} // namespace trefoil::http1
