// Lines of comma-separated values.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace trefoil {

/// Splits one line into its cells (RFC 4180 quotes, blanks around cells dropped). Nothing if a
/// quote is not closed or text follows a closing quote.
std::optional<std::vector<std::string>> split_csv_line(std::string_view line, char separator);

/// The lines of a text without their ends (LF or CRLF) and without a leading byte order mark. An
/// empty last line does not count.
std::vector<std::string_view> split_lines(std::string_view text);

/// The separator that a header line uses: `;` if it has one and no comma, else `,`.
char detect_separator(std::string_view header);

} // namespace trefoil
