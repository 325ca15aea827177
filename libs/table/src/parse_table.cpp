#include <trefoil/table/table.hpp>

#include <charconv>
#include <cmath>
#include <optional>
#include <set>

#include <fmt/format.h>

#include <trefoil/table/csv.hpp>

namespace trefoil {
namespace {

constexpr std::uint64_t max_deadline_ms = 600'000;
constexpr std::uint64_t max_retries = 100;
constexpr std::uint64_t max_in_flight_limit = 1'000'000;
constexpr std::uint64_t max_body_bytes = 64'000'000;
constexpr std::uint64_t lowest_priority = 9;
constexpr double max_weight = 1'000'000.0;
constexpr std::size_t max_name_length = 64;
constexpr std::size_t max_path_length = 256;
constexpr std::size_t max_excerpt_length = 80;

bool is_name_character(char c) {
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' ||
           c == '_' || c == '.';
}

bool is_name(std::string_view text) {
    return !text.empty() && text.size() <= max_name_length &&
           std::all_of(text.begin(), text.end(), is_name_character);
}

bool is_path_pattern(std::string_view text) {
    if (text == "*") {
        return true;
    }
    const bool printable = std::all_of(
        text.begin(), text.end(), [](unsigned char c) { return c > ' ' && c < 0x7F && c != '?'; });
    const auto double_star = text.find("**");
    const bool is_double_star_last = double_star == std::string_view::npos ||
                                     (double_star + 2 == text.size() && text.ends_with("/**"));
    return text.starts_with('/') && text.size() <= max_path_length && printable &&
           is_double_star_last;
}

// Converts the cells of one line in column order and collects the errors.
class row_reader {
public:
    row_reader(std::size_t line, const std::vector<std::string>& cells, table_errors& errors)
        : line_(line), cells_(cells), errors_(errors) {}

    std::string name(bool wildcard) {
        const auto& cell = next();
        if (!is_name(cell) && !(wildcard && cell == "*")) {
            add_error(cell, wildcard ? "a name of letters, digits, '-', '_', '.' (64 at most), or *"
                                     : "a name of letters, digits, '-', '_', '.' (64 at most)");
        }
        return cell;
    }

    std::string path() {
        const auto& cell = next();
        if (!is_path_pattern(cell)) {
            add_error(cell,
                      "* or a path from / whose segments are text or *, with /** only at the end");
        }
        return cell;
    }

    std::uint64_t whole(std::uint64_t lowest, std::uint64_t highest) {
        const auto& cell = next();
        std::uint64_t value = 0;
        const auto* end = cell.data() + cell.size();
        const auto [at, error] = std::from_chars(cell.data(), end, value);
        if (error != std::errc{} || at != end || value < lowest || value > highest) {
            add_error(cell, fmt::format("a whole number from {} to {}", lowest, highest));
        }
        return value;
    }

    double decimal(double lowest, double highest) {
        const auto& cell = next();
        double value = 0;
        const auto* end = cell.data() + cell.size();
        const auto [at, error] = std::from_chars(cell.data(), end, value);
        if (error != std::errc{} || at != end || !(value >= lowest && value <= highest)) {
            add_error(cell,
                      fmt::format("a number from {} to {} with a decimal point", lowest, highest));
        }
        return value;
    }

    bool yes_or_no() {
        const auto& cell = next();
        if (cell != "yes" && cell != "no") {
            add_error(cell, "yes or no");
        }
        return cell == "yes";
    }

private:
    const std::string& next() { return cells_[column_++]; }

    void add_error(const std::string& cell, std::string allowed) {
        errors_.push_back({line_, table_columns()[column_ - 1], cell.substr(0, max_excerpt_length),
                           std::move(allowed)});
    }

    std::size_t line_;
    const std::vector<std::string>& cells_;
    table_errors& errors_;
    std::size_t column_ = 0;
};

table_row read_row(std::size_t line, const std::vector<std::string>& cells, table_errors& errors) {
    row_reader reader(line, cells, errors);
    table_row row;
    row.kind = reader.name(false);
    row.service = reader.name(true);
    row.method = reader.name(true);
    row.path = reader.path();
    row.priority = static_cast<std::uint32_t>(reader.whole(0, lowest_priority));
    row.weight = reader.decimal(0.0, max_weight);
    row.deadline = std::chrono::milliseconds(reader.whole(1, max_deadline_ms));
    row.retries = static_cast<std::uint32_t>(reader.whole(0, max_retries));
    row.max_in_flight = static_cast<std::uint32_t>(reader.whole(0, max_in_flight_limit));
    row.once = reader.yes_or_no();
    row.max_bytes = reader.whole(0, max_body_bytes);
    row.slo_percent = reader.decimal(0.0, 100.0);
    return row;
}

std::string joined_columns() {
    return fmt::format("{}", fmt::join(table_columns(), ","));
}

bool check_header(std::string_view line, char separator, table_errors& errors) {
    const auto cells = split_csv_line(line, separator);
    if (cells && *cells == table_columns()) {
        return true;
    }
    errors.push_back(
        {1, "", std::string(line.substr(0, max_excerpt_length)), "the header " + joined_columns()});
    return false;
}

// Parses the text line by line and collects the errors of all lines.
class table_parser {
public:
    std::variant<table, table_errors> parse(std::string_view text) {
        const auto lines = split_lines(text);
        if (!check_size(text, lines) ||
            !check_header(lines.front(), detect_separator(lines.front()), errors_)) {
            return errors_;
        }
        const char separator = detect_separator(lines.front());
        for (std::size_t i = 1; i < lines.size(); ++i) {
            add_line(i + 1, lines[i], separator);
        }
        if (!kinds_.contains(std::string(default_kind))) {
            errors_.push_back({0, "kind", "no row 'default'", "a table with one row of that kind"});
        }
        if (!errors_.empty()) {
            return errors_;
        }
        return table(std::move(rows_));
    }

private:
    bool check_size(std::string_view text, const std::vector<std::string_view>& lines) {
        if (text.size() > max_table_bytes) {
            errors_.push_back({0, "", fmt::format("{} bytes", text.size()),
                               fmt::format("at most {} bytes", max_table_bytes)});
        }
        if (lines.size() > max_table_rows + 1) {
            errors_.push_back({0, "", fmt::format("{} rows", lines.size() - 1),
                               fmt::format("at most {} rows", max_table_rows)});
        }
        if (lines.empty()) {
            errors_.push_back({0, "", "no text", "the header " + joined_columns()});
        }
        return errors_.empty();
    }

    void add_line(std::size_t number, std::string_view line, char separator) {
        const auto excerpt = std::string(line.substr(0, max_excerpt_length));
        const auto cells = split_csv_line(line, separator);
        if (!cells) {
            errors_.push_back({number, "", excerpt, "cells with closed quotes"});
            return;
        }
        if (cells->size() != table_columns().size()) {
            errors_.push_back(
                {number, "", excerpt,
                 fmt::format("{} cells, found {}", table_columns().size(), cells->size())});
            return;
        }
        auto row = read_row(number, *cells, errors_);
        if (!kinds_.insert(row.kind).second) {
            errors_.push_back({number, "kind", row.kind, "a kind that no other row has"});
        }
        rows_.push_back(std::move(row));
    }

    std::vector<table_row> rows_;
    std::set<std::string> kinds_;
    table_errors errors_;
};

} // namespace

const std::vector<std::string>& table_columns() {
    static const std::vector<std::string> columns = {
        "kind",        "service", "method",        "path", "priority",  "weight",
        "deadline_ms", "retries", "max_in_flight", "once", "max_bytes", "slo_percent"};
    return columns;
}

std::variant<table, table_errors> parse_table(std::string_view text) {
    return table_parser().parse(text);
}

} // namespace trefoil
