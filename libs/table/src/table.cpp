#include <trefoil/table/table.hpp>

#include <algorithm>
#include <cstdlib>

#include <fmt/format.h>

namespace trefoil {
namespace {

bool cell_matches(std::string_view pattern, std::string_view value) {
    return pattern == "*" || pattern == value;
}

// Removes the first segment from a path and returns it.
std::string_view take_segment(std::string_view& path) {
    const auto end = std::min(path.find('/'), path.size());
    const auto segment = path.substr(0, end);
    path.remove_prefix(std::min(end + 1, path.size()));
    return segment;
}

constexpr std::string_view wildcard = "*";

// Returns the first segment of a path or a pattern; `*` if a pattern matches any first segment.
std::string_view first_segment(std::string_view path) {
    if (path.starts_with('/')) {
        path.remove_prefix(1);
    }
    const auto segment = path.substr(0, path.find('/'));
    return segment == "**" ? wildcard : segment;
}

std::string index_key(std::string_view service, std::string_view segment) {
    std::string key(service);
    key += '/';
    key += segment;
    return key;
}

} // namespace

bool path_matches(std::string_view pattern, std::string_view path) {
    path = path.substr(0, path.find('?'));
    if (pattern == "*" || pattern == "**") {
        return true;
    }
    const bool open_ended = pattern.ends_with("/**");
    if (open_ended) {
        pattern.remove_suffix(3);
    }
    if (!pattern.starts_with('/') && !pattern.empty()) {
        return false;
    }
    const auto slashes = [](std::string_view text) {
        return std::count(text.begin(), text.end(), '/');
    };
    if (slashes(path) < slashes(pattern) || (!open_ended && slashes(path) != slashes(pattern))) {
        return false;
    }
    while (!pattern.empty()) {
        const auto wanted = take_segment(pattern);
        const auto segment = take_segment(path);
        if (wanted != "*" && wanted != segment) {
            return false;
        }
    }
    return true;
}

std::string to_string(const table_error& error) {
    if (error.line == 0) {
        return fmt::format("table: {}: allowed is {}", error.value, error.allowed);
    }
    if (error.column.empty()) {
        return fmt::format("line {}: '{}': allowed is {}", error.line, error.value, error.allowed);
    }
    return fmt::format("line {}, column {}: '{}': allowed is {}", error.line, error.column,
                       error.value, error.allowed);
}

table::table(std::vector<table_row> rows) : rows_(std::move(rows)) {
    const auto found = std::find_if(rows_.begin(), rows_.end(),
                                    [](const table_row& row) { return row.kind == default_kind; });
    if (found == rows_.end()) {
        std::abort();
    }
    default_index_ = static_cast<std::size_t>(found - rows_.begin());
    for (std::size_t i = 0; i < rows_.size(); ++i) {
        add_to_index(i);
    }
}

void table::add_to_index(std::size_t row_index) {
    const auto& row = rows_[row_index];
    by_kind_.emplace(row.kind, row_index);
    if (row_index != default_index_) {
        by_service_and_segment_[index_key(row.service, first_segment(row.path))].push_back(
            row_index);
    }
}

const table_row& table::match(const service_name& service, std::string_view method,
                              std::string_view path) const {
    const auto segment = first_segment(path.substr(0, path.find('?')));
    std::size_t first = rows_.size();
    for (const auto& key : {index_key(service.str(), segment), index_key(service.str(), wildcard),
                            index_key(wildcard, segment), index_key(wildcard, wildcard)}) {
        first = first_match(key, service, method, path, first);
    }
    return first < rows_.size() ? rows_[first] : rows_[default_index_];
}

std::size_t table::first_match(const std::string& key, const service_name& service,
                               std::string_view method, std::string_view path,
                               std::size_t limit) const {
    const auto found = by_service_and_segment_.find(key);
    if (found == by_service_and_segment_.end()) {
        return limit;
    }
    for (const auto row_index : found->second) {
        const auto& row = rows_[row_index];
        if (row_index >= limit) {
            break;
        }
        if (cell_matches(row.service, service.str()) && cell_matches(row.method, method) &&
            path_matches(row.path, path)) {
            return row_index;
        }
    }
    return limit;
}

const table_row* table::find(std::string_view kind) const {
    const auto found = by_kind_.find(std::string(kind));
    return found == by_kind_.end() ? nullptr : &rows_[found->second];
}

const table_row& table::row_or_default(std::string_view kind) const {
    const auto* row = find(kind);
    return row != nullptr ? *row : rows_[default_index_];
}

} // namespace trefoil
