#include <trefoil/operate/table_commands.hpp>

#include <algorithm>
#include <set>
#include <vector>

#include <fmt/format.h>

namespace trefoil {
namespace {

/// Line number of the first row in the text of a table.
constexpr std::size_t first_row_line = 2;

std::size_t column_number(const std::string& column) {
    const auto& columns = table_columns();
    const auto found = std::find(columns.begin(), columns.end(), column);
    return found == columns.end() ? 1 : static_cast<std::size_t>(found - columns.begin()) + 1;
}

std::string error_line(std::string_view name, const table_error& error) {
    const auto column = error.column.empty() ? "" : fmt::format("{}: ", error.column);
    return fmt::format("{}:{}:{}: {}'{}': allowed is {}\n", name,
                       std::max<std::size_t>(1, error.line), column_number(error.column), column,
                       error.value, error.allowed);
}

std::vector<std::string> cells_of(const table_row& row) {
    return {row.kind,
            row.service,
            row.method,
            row.path,
            fmt::format("{}", row.priority),
            fmt::format("{}", row.weight),
            fmt::format("{}", row.deadline.count() / 1000),
            fmt::format("{}", row.retries),
            fmt::format("{}", row.max_in_flight),
            row.once ? "yes" : "no",
            fmt::format("{}", row.max_bytes),
            fmt::format("{}", row.slo_percent)};
}

std::string changed_cells(const table_row& before, const table_row& after) {
    const auto old_cells = cells_of(before);
    const auto new_cells = cells_of(after);
    std::string text;
    for (std::size_t i = 0; i < old_cells.size(); ++i) {
        if (old_cells[i] != new_cells[i]) {
            text += fmt::format("{}{} {} -> {}", text.empty() ? "" : ", ", table_columns()[i],
                                old_cells[i], new_cells[i]);
        }
    }
    return text;
}

std::vector<std::string> common_kinds(const table& one, const table& other) {
    std::vector<std::string> kinds;
    for (const auto& row : one.rows()) {
        if (other.find(row.kind) != nullptr) {
            kinds.push_back(row.kind);
        }
    }
    return kinds;
}

std::string order_change(const table& before, const table& after) {
    const auto old_order = common_kinds(before, after);
    const auto new_order = common_kinds(after, before);
    const auto [first, other] =
        std::mismatch(old_order.begin(), old_order.end(), new_order.begin());
    if (first == old_order.end()) {
        return "";
    }
    return fmt::format(
        "order of rows: the position of kind '{}' is now taken by kind '{}'; the first row that "
        "matches a call applies\n",
        *first, *other);
}

std::string mismatch_of(const table_row& row, const explain_query& question) {
    if (row.service != "*" && row.service != question.service->str()) {
        return fmt::format("service {} is not {}", question.service->str(), row.service);
    }
    if (row.method != "*" && row.method != question.method) {
        return fmt::format("method {} is not {}", question.method, row.method);
    }
    if (!path_matches(row.path, question.path)) {
        return fmt::format("path {} is not covered by {}", question.path, row.path);
    }
    return "";
}

std::string format_limits(const table_row& row) {
    std::string text;
    const auto cells = cells_of(row);
    for (std::size_t i = 4; i < cells.size(); ++i) {
        text += fmt::format("  {} {}\n", table_columns()[i], cells[i]);
    }
    return text;
}

/// Explains a call of one service. Lists rows of the service that fail to match only by path or
/// method, since the operator may have expected one of them to apply.
std::string explain_for_service(const table& rules, const explain_query& question) {
    const auto& chosen = rules.match(*question.service, question.method, question.path);
    std::string text;
    std::string shadowed;
    bool has_match = false;
    for (std::size_t i = 0; i < rules.rows().size(); ++i) {
        const auto& row = rules.rows()[i];
        if (row.kind == default_kind) {
            continue;
        }
        const auto line = i + first_row_line;
        const auto mismatch_reason = mismatch_of(row, question);
        if (mismatch_reason.empty() && has_match) {
            shadowed += fmt::format(
                "line {}, kind '{}', matches too, but comes after the row that applies\n", line,
                row.kind);
        } else if (mismatch_reason.empty()) {
            has_match = true;
            text += fmt::format("line {}, kind '{}', applies: service {}, method {}, path {}\n",
                                line, row.kind, row.service, row.method, row.path);
        } else if (!has_match && row.service == question.service->str()) {
            text += fmt::format("line {}, kind '{}', does not match: {}\n", line, row.kind,
                                mismatch_reason);
        }
    }
    if (!has_match) {
        text += fmt::format("no row matches: kind '{}' applies\n", default_kind);
    }
    return text + format_limits(chosen) + shadowed;
}

} // namespace

command_result check_table(std::string_view name, std::string_view text) {
    const auto parsed = parse_table(text);
    if (const auto* accepted = std::get_if<table>(&parsed)) {
        return {exit_success, fmt::format("{}: good, {} rows\n", name, accepted->rows().size())};
    }
    command_result result{exit_findings, ""};
    for (const auto& error : std::get<table_errors>(parsed)) {
        result.text += error_line(name, error);
    }
    return result;
}

command_result diff_tables(std::string_view before, std::string_view after) {
    const auto old_parsed = parse_table(before);
    const auto new_parsed = parse_table(after);
    const auto* old_table = std::get_if<table>(&old_parsed);
    const auto* new_table = std::get_if<table>(&new_parsed);
    if (old_table == nullptr || new_table == nullptr) {
        return {exit_failed,
                "one of the files is not a valid table; run `trefoil-table check` on both\n"};
    }
    command_result result;
    for (const auto& row : new_table->rows()) {
        const auto* old_row = old_table->find(row.kind);
        if (old_row == nullptr) {
            result.text += fmt::format("kind '{}': new\n{}", row.kind, format_limits(row));
        } else if (const auto cells = changed_cells(*old_row, row); !cells.empty()) {
            result.text += fmt::format("kind '{}': {}\n", row.kind, cells);
        }
    }
    for (const auto& row : old_table->rows()) {
        if (new_table->find(row.kind) == nullptr) {
            result.text += fmt::format("kind '{}': removed; the next row that matches applies to "
                                       "its calls, or '{}'\n",
                                       row.kind, default_kind);
        }
    }
    result.text += order_change(*old_table, *new_table);
    result.exit_code = result.text.empty() ? exit_success : exit_findings;
    return result;
}

command_result explain_call(std::string_view text, const explain_query& question) {
    const auto parsed = parse_table(text);
    const auto* rules = std::get_if<table>(&parsed);
    if (rules == nullptr) {
        return {exit_failed, "the file is not a valid table; run `trefoil-table check` on it\n"};
    }
    if (question.service) {
        return {exit_success, explain_for_service(*rules, question)};
    }
    std::set<std::string> services;
    for (const auto& row : rules->rows()) {
        if (row.service != "*") {
            services.insert(row.service);
        }
    }
    services.insert("any-other-service");
    command_result result;
    for (const auto& service : services) {
        auto service_question = question;
        service_question.service = service_name(service);
        result.text +=
            fmt::format("service {}:\n{}", service, explain_for_service(*rules, service_question));
    }
    return result;
}

} // namespace trefoil
