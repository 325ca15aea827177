// Reads the log lines of proxies.
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

/// One line of a process's log.
struct log_line {
    /// The file that it stands in.
    std::string source;
    /// As printed, in UTC.
    std::string time;
    /// The same as time since the epoch.
    duration at{0};
    int number = 0;
    std::string name;
    std::map<std::string, std::string> fields;
    /// The line as it stands in the file.
    std::string text;

    /// A field's value, or empty.
    std::string_view field(const std::string& key) const;

    friend bool operator==(const log_line&, const log_line&) = default;
};

/// Nothing if the text is no line of a log.
std::optional<log_line> parse_log_line(std::string_view text, const std::string& source);

/// Appends all lines of a log; what is no line of a log is left out and counted.
std::size_t read_log(std::istream& in, const std::string& source, std::vector<log_line>& lines);

} // namespace trefoil
