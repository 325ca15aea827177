// Parsing of comma-separated values.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace trefoil {

/// Splits a line into cells, with quotes as in RFC 4180. Blanks around cells are removed. Returns
/// nothing if a quote is not closed or if text follows a closing quote.
std::optional<std::vector<std::string>> split_csv_line(std::string_view line, char separator);

/// Splits a text into lines without their line ends (LF or CRLF). A leading byte order mark is
/// skipped, and a line end at the end of the text does not start another line.
std::vector<std::string_view> split_lines(std::string_view text);

/// Returns the separator of a header line: `;` if the line contains a semicolon and no comma,
/// otherwise `,`.
char detect_separator(std::string_view header);

} // namespace trefoil
