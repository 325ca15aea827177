// Says which published documents may come into force.
#pragma once

#include <string_view>

#include <absl/status/status.h>

#include <trefoil/wire/control_message.hpp>

namespace trefoil {

/// Failures of published documents.
enum class document_failure { bad_table, bad_instance_list };

absl::StatusCode status_code(document_failure failure);
std::string_view name_of(document_failure failure);

/// Fails with the first error of a table or an instance list that can't be used.
absl::Status validate_document(document_id document, std::string_view text);

} // namespace trefoil
