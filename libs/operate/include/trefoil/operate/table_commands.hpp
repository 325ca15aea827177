// What operators ask about a table before they publish it.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include <trefoil/table/table.hpp>

namespace trefoil {

/// Exit code of a command that found nothing to complain of.
inline constexpr int exit_good = 0;
/// Exit code of a command that found errors or differences.
inline constexpr int exit_found = 1;
/// Exit code of a command that could not be carried out.
inline constexpr int exit_failed = 2;

/// What a command prints and its exit code.
struct command_result {
    int exit_code = exit_good;
    std::string text;

    friend bool operator==(const command_result&, const command_result&) = default;
};

/// Lists every error of a table with line and column, as `NAME:LINE:COLUMN: ...`, where the column
/// is that of the cell, from 1. exit_found if there is any.
command_result check_table(std::string_view name, std::string_view text);

/// Says what changes for which kind from one table to another. exit_good if nothing does,
/// exit_found if something does, exit_failed if one of the texts is no table.
command_result diff_tables(std::string_view before, std::string_view after);

/// A call to be explained.
struct call_question {
    /// Absent to explain the call for each service that the table names.
    std::optional<service_name> service;
    std::string method = "GET";
    std::string path;

    friend bool operator==(const call_question&, const call_question&) = default;
};

/// Says which row a call gets and why. exit_failed if the text is no table.
command_result explain_call(std::string_view text, const call_question& question);

} // namespace trefoil
