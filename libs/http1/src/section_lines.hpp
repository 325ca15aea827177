// Follows the lines of a head or of a trailer section.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace trefoil::http1 {

/// Reads the bytes that http_parser reads, for what it doesn't tell: whether each CR is followed by
/// an LF, and the first bytes of a head. An LF alone ends a line too (RFC 9112 2.2).
class section_lines {
public:
    /// Number of bytes that start() keeps: a status line up to the byte behind the status, which is
    /// a space or the end of the line.
    static constexpr std::size_t max_start_bytes = 13;

    /// Expects a head. The line ends that may stand before it are skipped.
    void expect_head();
    /// Expects a trailer section, which may be an empty line alone.
    void expect_trailers();

    /// Reads up to the empty line that ends the section, and nothing behind it. Returns the number
    /// of bytes in front of the first one that should be an LF and is none, or bytes.size().
    std::size_t read(std::string_view bytes);

    /// The first bytes of the head that is read, at most max_start_bytes.
    const std::string& start() const { return start_; }

private:
    enum class position : std::uint8_t { before, within, behind };

    /// Reads a part of a line that has no LF, up to the first byte that should be one. Returns the
    /// number of bytes read.
    std::size_t valid_bytes(std::string_view line);
    void end_line();

    position position_ = position::before;
    bool is_line_empty_ = true;
    bool is_after_cr_ = false;
    std::string start_;
};

} // namespace trefoil::http1
