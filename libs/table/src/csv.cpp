#include <trefoil/table/csv.hpp>

namespace trefoil {
namespace {

constexpr std::string_view byte_order_mark = "\xEF\xBB\xBF";

std::string_view trimmed(std::string_view cell) {
    const auto first = cell.find_first_not_of(" \t");
    if (first == std::string_view::npos) {
        return {};
    }
    const auto last = cell.find_last_not_of(" \t");
    return cell.substr(first, last - first + 1);
}

// Parses the quoted cell at position `at` and moves `at` past the closing quote. Returns nothing if
// the quote is not closed.
std::optional<std::string> read_quoted(std::string_view line, std::size_t& at) {
    std::string cell;
    for (++at; at < line.size(); ++at) {
        if (line[at] != '"') {
            cell += line[at];
        } else if (at + 1 < line.size() && line[at + 1] == '"') {
            cell += '"';
            ++at;
        } else {
            ++at;
            return cell;
        }
    }
    return std::nullopt;
}

} // namespace

std::optional<std::vector<std::string>> split_csv_line(std::string_view line, char separator) {
    std::vector<std::string> cells;
    std::size_t at = 0;
    while (true) {
        const auto end = std::min(line.find(separator, at), line.size());
        const auto start = line.find_first_not_of(" \t", at);
        if (start < end && line[start] == '"') {
            at = start;
            auto cell = read_quoted(line, at);
            const auto next = std::min(line.find(separator, at), line.size());
            if (!cell || !trimmed(line.substr(at, next - at)).empty()) {
                return std::nullopt;
            }
            cells.push_back(std::move(*cell));
            at = next;
        } else {
            cells.emplace_back(trimmed(line.substr(at, end - at)));
            at = end;
        }
        if (at >= line.size()) {
            return cells;
        }
        ++at;
    }
}

std::vector<std::string_view> split_lines(std::string_view text) {
    if (text.starts_with(byte_order_mark)) {
        text.remove_prefix(byte_order_mark.size());
    }
    std::vector<std::string_view> lines;
    while (!text.empty()) {
        const auto end = std::min(text.find('\n'), text.size());
        auto line = text.substr(0, end);
        if (line.ends_with('\r')) {
            line.remove_suffix(1);
        }
        lines.push_back(line);
        text.remove_prefix(std::min(end + 1, text.size()));
    }
    return lines;
}

char detect_separator(std::string_view header) {
    const bool has_semicolon = header.find(';') != std::string_view::npos;
    const bool has_comma = header.find(',') != std::string_view::npos;
    return has_semicolon && !has_comma ? ';' : ',';
}

} // namespace trefoil
