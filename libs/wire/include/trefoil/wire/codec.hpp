// The inner protocol's bytes: protobuf messages, in headers as base64url.
#pragma once

#include <string>
#include <string_view>

#include <absl/status/statusor.h>

#include <trefoil/wire/call_context.hpp>
#include <trefoil/wire/control_message.hpp>

namespace trefoil {

/// Failures of the inner protocol's codec.
enum class wire_failure { bad_base64, bad_message, out_of_range };

absl::StatusCode status_code(wire_failure failure);
std::string_view name_of(wire_failure failure);

/// Header of a call's context between nodes.
inline constexpr std::string_view context_header = "trefoil-context";
/// Header of an answer's information between nodes.
inline constexpr std::string_view answer_header = "trefoil-answer";
/// Member of the W3C `baggage` header by which the application carries a context.
inline constexpr std::string_view baggage_member = "trefoil";
/// Largest accepted header value in bytes.
inline constexpr std::size_t max_header_bytes = 2048;
/// Greatest depth of a call chain.
inline constexpr std::uint32_t max_depth = 64;

/// The context as a header value.
std::string encode_context(const call_context& context);
/// Fails with a wire_failure if the value is no context or a field is out of its range.
absl::StatusOr<call_context> decode_context(std::string_view text);

/// The information as a header value.
std::string encode_answer_info(const answer_info& info);
/// Fails with a wire_failure.
absl::StatusOr<answer_info> decode_answer_info(std::string_view text);

/// The message as protobuf bytes.
std::string encode_control(const control_message& message);
/// Fails with a wire_failure.
absl::StatusOr<control_message> decode_control(std::string_view bytes);

/// The value of the baggage member `trefoil` in a W3C baggage header, or empty.
std::string_view find_baggage(std::string_view header);
/// The baggage header without its member `trefoil`.
std::string strip_baggage(std::string_view header);

} // namespace trefoil
