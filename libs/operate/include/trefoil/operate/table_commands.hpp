// Commands that check, compare and explain a table before it is published.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include <trefoil/table/table.hpp>

namespace trefoil {

/// Exit code of a command that completed and found no errors or differences.
inline constexpr int exit_success = 0;
/// Exit code of a command that completed and found errors or differences.
inline constexpr int exit_findings = 1;
/// Exit code of a command that could not be completed.
inline constexpr int exit_failed = 2;

/// Output and exit code of a command.
struct command_result {
    int exit_code = exit_success;
    std::string text;

    friend bool operator==(const command_result&, const command_result&) = default;
};

/// Lists every error of a table as `NAME:LINE:COLUMN: ...`. The column is the number of the cell,
/// starting at 1. The exit code is exit_findings if there are errors.
command_result check_table(std::string_view name, std::string_view text);

/// Lists the differences between two tables by kind. The exit code is exit_success if there are
/// none, exit_findings if there are some and exit_failed if one of the texts is not a valid table.
command_result diff_tables(std::string_view before, std::string_view after);

/// The call that explain_call() looks up.
struct explain_query {
    /// If absent, the call is explained for each service in the table and for any other service.
    std::optional<service_name> service;
    std::string method = "GET";
    std::string path;

    friend bool operator==(const explain_query&, const explain_query&) = default;
};

/// Explains which row of the table applies to a call and why. The exit code is exit_failed if the
/// text is not a valid table.
command_result explain_call(std::string_view text, const explain_query& question);

} // namespace trefoil
