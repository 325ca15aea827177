// Parses the log lines that nodes and proxies write.
#pragma once

#include <istream>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <trefoil/base/log.hpp>
#include <trefoil/base/time.hpp>

namespace trefoil {

/// One parsed line of a process's log.
struct log_line {
    /// Name of the log file that holds the line.
    std::string source;
    /// Timestamp in UTC, as printed in the log.
    std::string time;
    /// The same timestamp as the time since the epoch.
    duration at{0};
    /// Number of the log event (see log_event).
    int number = 0;
    /// Name of the log event.
    std::string name;
    std::map<std::string, std::string> fields;
    /// The complete, unparsed line.
    std::string text;

    /// Returns the value of a field, or an empty string if the line has no such field.
    std::string_view field(const std::string& key) const;

    friend bool operator==(const log_line&, const log_line&) = default;
};

/// Parses one line of the form `TIME NUMBER NAME KEY=VALUE...`. Returns no value if the text
/// doesn't have that form.
std::optional<log_line> parse_log_line(std::string_view text, const std::string& source);

/// Appends all lines of a log to `lines`. Skips lines that can't be parsed and returns how many.
std::size_t read_log(std::istream& in, const std::string& source, std::vector<log_line>& lines);

} // namespace trefoil
