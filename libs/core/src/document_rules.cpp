#include "document_rules.hpp"

#include <fmt/format.h>

#include <trefoil/base/error.hpp>
#include <trefoil/membership/member_list.hpp>
#include <trefoil/table/table.hpp>

namespace trefoil {

absl::StatusCode status_code(document_failure) {
    return absl::StatusCode::kInvalidArgument;
}

std::string_view name_of(document_failure failure) {
    return failure == document_failure::bad_table ? "bad_table" : "bad_instance_list";
}

absl::Status validate_document(document_id document, std::string_view text) {
    if (document == document_id::table) {
        const auto parsed = parse_table(text);
        if (const auto* errors = std::get_if<table_errors>(&parsed)) {
            return make_error(document_failure::bad_table, to_string(errors->front()));
        }
        return absl::OkStatus();
    }
    const auto parsed = parse_members(text);
    if (const auto* errors = std::get_if<member_errors>(&parsed)) {
        return make_error(
            document_failure::bad_instance_list,
            fmt::format("line {}: {}", errors->front().line, errors->front().problem));
    }
    return absl::OkStatus();
}

} // namespace trefoil
