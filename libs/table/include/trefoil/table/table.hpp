// The operators' table: each row is a kind of request, each column a weight or a limit.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <unordered_map>
#include <variant>
#include <vector>

#include <trefoil/base/ids.hpp>
#include <trefoil/base/time.hpp>

namespace trefoil {

/// Largest accepted table in bytes.
inline constexpr std::size_t max_table_bytes = 1'000'000;
/// Largest accepted number of rows.
inline constexpr std::size_t max_table_rows = 10'000;
/// Kind of the row for calls that match no other row.
inline constexpr std::string_view default_kind = "default";

/// One kind of request.
struct table_row {
    std::string kind;
    /// Service of the first leg, or `*`.
    std::string service;
    /// HTTP method, or `*`.
    std::string method;
    /// Path pattern: `*` stands for one segment, `**` at the end for any rest.
    std::string path;
    /// 0 is the most important and shed last, 9 is shed first.
    std::uint32_t priority = 9;
    /// Value of one completed request, relative to the other rows.
    double weight = 1.0;
    /// Time in which the whole request must finish.
    duration deadline{0};
    /// Retries of one whole request, over all its calls.
    std::uint32_t retries = 0;
    /// Requests of this kind in flight at one target; 0 refuses all.
    std::uint32_t max_in_flight = 0;
    /// True if the request must not be repeated.
    bool once = false;
    /// Largest body of a request or an answer.
    std::uint64_t max_bytes = 0;
    /// Objective: share of requests, in percent, that complete in full in time.
    double slo_percent = 0;

    friend bool operator==(const table_row&, const table_row&) = default;
};

/// One thing that is wrong with a table's text.
struct table_error {
    /// Line in the text, from 1; 0 if the error is about the whole text.
    std::size_t line = 0;
    /// Column's name; empty if the error is about the whole line.
    std::string column;
    /// The cell's value as written.
    std::string value;
    /// What would have been accepted.
    std::string allowed;

    friend bool operator==(const table_error&, const table_error&) = default;
};

/// The error as one line of text.
std::string to_string(const table_error& error);

/// An accepted table. Immutable; a new version is a new table.
class table {
public:
    /// A table without errors, in its order.
    explicit table(std::vector<table_row> rows);

    /// The first row whose service, method and path match, else the row `default`. A query in the
    /// path doesn't count.
    const table_row& match(const service_name& service, std::string_view method,
                           std::string_view path) const;

    /// The row of a kind; null if there is none.
    const table_row* find(std::string_view kind) const;

    /// The row of a kind, else the row `default`.
    const table_row& row_or_default(std::string_view kind) const;

    const std::vector<table_row>& rows() const { return rows_; }

    friend bool operator==(const table& a, const table& b) { return a.rows_ == b.rows_; }

private:
    /// Places of rows in ascending order.
    using places = std::vector<std::size_t>;

    void add_to_index(std::size_t place);
    /// The first of the places, below `limit`, whose row matches; else `limit`.
    std::size_t first_match(const std::string& key, const service_name& service,
                            std::string_view method, std::string_view path,
                            std::size_t limit) const;

    std::vector<table_row> rows_;
    std::size_t default_index_ = 0;
    std::unordered_map<std::string, std::size_t> by_kind_;
    /// Rows by their service and the first segment of their path.
    std::unordered_map<std::string, places> by_first_leg_;
};

/// Every error of a refused table, in the order of the text.
using table_errors = std::vector<table_error>;

/// Reads a table from CSV as a spreadsheet saves it (comma or semicolon, quotes, CRLF, byte order
/// mark). Total: any bytes give a table or all their errors. Depends on the bytes alone.
std::variant<table, table_errors> parse_table(std::string_view text);

/// Names of the columns in their order.
const std::vector<std::string>& table_columns();

/// True if the pattern covers the path. See table_row::path.
bool path_matches(std::string_view pattern, std::string_view path);

} // namespace trefoil
