// Errors of the public library interfaces: an absl::Status that carries a typed failure.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include <absl/status/status.h>

namespace trefoil {

/// Failures of the base library.
enum class base_failure { bad_endpoint };

absl::StatusCode status_code(base_failure failure);
std::string_view name_of(base_failure failure);

namespace detail {
absl::Status make_error(absl::StatusCode code, std::string_view name, std::string_view explanation);
} // namespace detail

/// Creates a status from a typed failure. Each library defines status_code() and name_of() for its
/// failure enum. The name is attached as a payload for programs; the explanation is the message for
/// people.
template <class Failure>
absl::Status make_error(Failure failure, std::string_view explanation) {
    return detail::make_error(status_code(failure), name_of(failure), explanation);
}

/// Returns the name of the typed failure that a status was created from; nothing for other
/// statuses.
std::optional<std::string> failure_name(const absl::Status& status);

/// Returns whether the status was created from this failure.
template <class Failure>
bool is_failure(const absl::Status& status, Failure failure) {
    return failure_name(status) == std::string(name_of(failure));
}

} // namespace trefoil
