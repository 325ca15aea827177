#include <trefoil/report/log_line.hpp>

#include <charconv>
#include <cstdio>

namespace trefoil {
namespace {

/// Removes and returns the text up to the next space, or all of it.
std::string_view take_word(std::string_view& text) {
    const auto end = std::min(text.find(' '), text.size());
    const auto word = text.substr(0, end);
    text.remove_prefix(std::min(end + 1, text.size()));
    return word;
}

/// Removes and returns a value, which is in quotes if it contains spaces.
std::string take_value(std::string_view& text) {
    if (!text.starts_with('"')) {
        return std::string(take_word(text));
    }
    std::string value;
    std::size_t at = 1;
    for (; at < text.size() && text[at] != '"'; ++at) {
        at += text[at] == '\\' ? 1 : 0;
        value += at < text.size() ? std::string(1, text[at]) : "";
    }
    text.remove_prefix(std::min(at + 2, text.size()));
    return value;
}

/// Parses a timestamp of the form `2026-04-17T11:22:16.941Z`.
std::optional<duration> parse_time(std::string_view text) {
    int year = 0;
    unsigned month = 0;
    unsigned day = 0;
    int hour = 0;
    int minute = 0;
    int second = 0;
    int milliseconds = 0;
    const std::string copy(text);
    const int read = std::sscanf(copy.c_str(), "%4d-%2u-%2uT%2d:%2d:%2d.%3dZ", &year, &month, &day,
                                 &hour, &minute, &second, &milliseconds);
    constexpr int parts = 7;
    if (read != parts) {
        return std::nullopt;
    }
    const std::chrono::sys_days days{std::chrono::year(year) / std::chrono::month(month) /
                                     std::chrono::day(day)};
    return days.time_since_epoch() + std::chrono::hours(hour) + std::chrono::minutes(minute) +
           std::chrono::seconds(second) + std::chrono::milliseconds(milliseconds);
}

} // namespace

std::string_view log_line::field(const std::string& key) const {
    const auto found = fields.find(key);
    return found == fields.end() ? std::string_view() : found->second;
}

std::optional<log_line> parse_log_line(std::string_view text, const std::string& source) {
    log_line line;
    line.source = source;
    line.text = std::string(text);
    line.time = std::string(take_word(text));
    const auto at = parse_time(line.time);
    const auto number = take_word(text);
    const auto [end, error] =
        std::from_chars(number.data(), number.data() + number.size(), line.number);
    line.name = std::string(take_word(text));
    if (!at || error != std::errc() || end != number.data() + number.size() || line.name.empty()) {
        return std::nullopt;
    }
    line.at = *at;
    while (!text.empty()) {
        const auto equals = text.find('=');
        if (equals == std::string_view::npos) {
            return std::nullopt;
        }
        const std::string key(text.substr(0, equals));
        text.remove_prefix(equals + 1);
        line.fields[key] = take_value(text);
    }
    return line;
}

std::size_t read_log(std::istream& in, const std::string& source, std::vector<log_line>& lines) {
    std::size_t skipped = 0;
    std::string text;
    while (std::getline(in, text)) {
        auto line = parse_log_line(text, source);
        if (line) {
            lines.push_back(std::move(*line));
        } else {
            ++skipped;
        }
    }
    return skipped;
}

} // namespace trefoil
