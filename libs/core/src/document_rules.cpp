#include "document_rules.hpp"

#include <utility>

#include <fmt/format.h>

#include <trefoil/base/error.hpp>
#include <trefoil/base/hash.hpp>

namespace trefoil {

absl::StatusCode status_code(document_failure) {
    return absl::StatusCode::kInvalidArgument;
}

std::string_view name_of(document_failure failure) {
    return failure == document_failure::bad_table ? "bad_table" : "bad_instance_list";
}

absl::Status document_parser::check(document_id document, std::string_view text) {
    return document == document_id::table ? check_table(text) : check_members(text);
}

absl::Status document_parser::check_table(std::string_view text) {
    auto parsed = parse_table(text);
    if (const auto* errors = std::get_if<table_errors>(&parsed)) {
        return make_error(document_failure::bad_table, to_string(errors->front()));
    }
    table_ = std::get<table>(std::move(parsed));
    table_hash_ = stable_hash(text);
    return absl::OkStatus();
}

absl::Status document_parser::check_members(std::string_view text) {
    auto parsed = parse_members(text);
    if (const auto* errors = std::get_if<member_errors>(&parsed)) {
        return make_error(
            document_failure::bad_instance_list,
            fmt::format("line {}: {}", errors->front().line, errors->front().problem));
    }
    members_ = std::get<std::vector<member>>(std::move(parsed));
    members_hash_ = stable_hash(text);
    return absl::OkStatus();
}

table document_parser::take_table(std::string_view text) {
    auto cached = std::exchange(table_, std::nullopt);
    return cached && table_hash_ == stable_hash(text) ? *std::move(cached)
                                                      : std::get<table>(parse_table(text));
}

std::vector<member> document_parser::take_members(std::string_view text) {
    auto cached = std::exchange(members_, std::nullopt);
    return cached && members_hash_ == stable_hash(text)
               ? *std::move(cached)
               : std::get<std::vector<member>>(parse_members(text));
}

} // namespace trefoil
