#include <trefoil/base/error.hpp>

#include <absl/strings/cord.h>

namespace trefoil {
namespace {

constexpr absl::string_view failure_payload_type = "trefoil/failure";

} // namespace

absl::StatusCode status_code(base_failure) {
    return absl::StatusCode::kInvalidArgument;
}

std::string_view name_of(base_failure) {
    return "bad_endpoint";
}

namespace detail {

absl::Status make_error(absl::StatusCode code, std::string_view name,
                        std::string_view explanation) {
    absl::Status status(code, absl::string_view(explanation.data(), explanation.size()));
    status.SetPayload(failure_payload_type,
                      absl::Cord(absl::string_view(name.data(), name.size())));
    return status;
}

} // namespace detail

std::optional<std::string> failure_name(const absl::Status& status) {
    const auto payload = status.GetPayload(failure_payload_type);
    if (!payload.has_value()) {
        return std::nullopt;
    }
    return std::string(*payload);
}

} // namespace trefoil
