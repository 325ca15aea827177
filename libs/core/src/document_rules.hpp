// Validation of published documents before they come into force.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

#include <absl/status/status.h>

#include <trefoil/membership/member_list.hpp>
#include <trefoil/table/table.hpp>
#include <trefoil/wire/control_message.hpp>

namespace trefoil {

/// Reasons why a published document is rejected.
enum class document_failure { bad_table, bad_instance_list };

absl::StatusCode status_code(document_failure failure);
std::string_view name_of(document_failure failure);

/// Validates and parses published documents. The parsed result of a check is cached until the
/// document comes into force, so that each document is parsed only once.
class document_parser {
public:
    /// Fails with the first error of an invalid table or instance list.
    absl::Status check(document_id document, std::string_view text);

    /// Returns the table of a text that passed check().
    table take_table(std::string_view text);
    /// Returns the instance list of a text that passed check().
    std::vector<member> take_members(std::string_view text);

private:
    absl::Status check_table(std::string_view text);
    absl::Status check_members(std::string_view text);

    std::optional<table> table_;
    std::uint64_t table_hash_ = 0;
    std::optional<std::vector<member>> members_;
    std::uint64_t members_hash_ = 0;
};

} // namespace trefoil
