// The operators' table: each row defines a kind of request, each column one of its properties or
// limits.
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

/// Maximum size of a table in bytes.
inline constexpr std::size_t max_table_bytes = 1'000'000;
/// Maximum number of rows.
inline constexpr std::size_t max_table_rows = 10'000;
/// Kind of the row that applies to calls that match no other row.
inline constexpr std::string_view default_kind = "default";

/// One row of the table: a kind of request, how calls are matched to it, and its limits.
struct table_row {
    std::string kind;
    /// Service that the entry call is addressed to, or `*` for any.
    std::string service;
    /// HTTP method, or `*` for any.
    std::string method;
    /// Path pattern: `*` matches one segment, `**` at the end matches any remaining path or none,
    /// and `*` alone matches every path.
    std::string path;
    /// From 0, the most important and shed last, to 9, shed first.
    std::uint32_t priority = 9;
    /// Value of one completed request, relative to the other rows.
    double weight = 1.0;
    /// Time limit for the whole request.
    duration deadline{0};
    /// Retry budget of one whole request, shared by all its calls.
    std::uint32_t retries = 0;
    /// Maximum number of requests of this kind in flight at one target; 0 refuses all.
    std::uint32_t max_in_flight = 0;
    /// True if the request must not run more than once.
    bool once = false;
    /// Maximum size in bytes of the body of a request or an answer.
    std::uint64_t max_bytes = 0;
    /// Service level objective: percentage of requests that complete within the deadline.
    double slo_percent = 0;

    friend bool operator==(const table_row&, const table_row&) = default;
};

/// One error in the text of a table.
struct table_error {
    /// Line number, from 1; 0 if the error concerns the whole text.
    std::size_t line = 0;
    /// Name of the column; empty if the error concerns the whole line.
    std::string column;
    /// The rejected value as written.
    std::string value;
    /// Description of the accepted values.
    std::string allowed;

    friend bool operator==(const table_error&, const table_error&) = default;
};

/// Formats the error as one line of text.
std::string to_string(const table_error& error);

/// A valid, immutable table. Finds the row of a call by an index over service and first path
/// segment. A new version of the document is a new table.
class table {
public:
    /// Takes valid rows in the order of the text. Aborts the process if the row `default` is
    /// missing.
    explicit table(std::vector<table_row> rows);

    /// Returns the first row whose service, method and path match, or else the row `default`. A
    /// query in the path is ignored.
    const table_row& match(const service_name& service, std::string_view method,
                           std::string_view path) const;

    /// Returns the row of a kind; null if there is none.
    const table_row* find(std::string_view kind) const;

    /// Returns the row of a kind, or else the row `default`.
    const table_row& row_or_default(std::string_view kind) const;

    const std::vector<table_row>& rows() const { return rows_; }

    friend bool operator==(const table& a, const table& b) { return a.rows_ == b.rows_; }

private:
    /// Indices into rows_ in ascending order.
    using row_indices = std::vector<std::size_t>;

    void add_to_index(std::size_t row_index);
    /// Returns the index of the first matching row among the rows indexed under `key`, if it is
    /// below `limit`; otherwise `limit`.
    std::size_t first_match(const std::string& key, const service_name& service,
                            std::string_view method, std::string_view path,
                            std::size_t limit) const;

    std::vector<table_row> rows_;
    std::size_t default_index_ = 0;
    std::unordered_map<std::string, std::size_t> by_kind_;
    /// Rows by service and first path segment; the keys are made by index_key().
    std::unordered_map<std::string, row_indices> by_service_and_segment_;
};

/// All errors of a rejected table, in the order of the text.
using table_errors = std::vector<table_error>;

/// Parses a table from CSV as spreadsheets save it: comma or semicolon, quotes, CRLF, byte order
/// mark. Every input gives either a table or the list of its errors, and the result depends on the
/// bytes alone.
std::variant<table, table_errors> parse_table(std::string_view text);

/// Returns the names of the columns in order.
const std::vector<std::string>& table_columns();

/// Returns whether the pattern matches the path. See table_row::path.
bool path_matches(std::string_view pattern, std::string_view path);

} // namespace trefoil
