// Serialization of the protocol between nodes: protobuf messages, encoded as base64url in headers.
#pragma once

#include <string>
#include <string_view>

#include <absl/status/statusor.h>

#include <trefoil/wire/call_context.hpp>
#include <trefoil/wire/control_message.hpp>

namespace trefoil {

/// Reasons for which a header value or a control message can't be decoded.
enum class wire_failure { bad_base64, bad_message, out_of_range };

absl::StatusCode status_code(wire_failure failure);
std::string_view name_of(wire_failure failure);

/// Header that carries the context of a call between nodes.
inline constexpr std::string_view context_header = "trefoil-context";
/// Header that carries the answer_info of an answer between nodes.
inline constexpr std::string_view answer_header = "trefoil-answer";
/// Member of the W3C `baggage` header in which the application propagates a call's context.
inline constexpr std::string_view baggage_member = "trefoil";
/// Maximum length in bytes of a header value that the decoders accept.
inline constexpr std::size_t max_header_bytes = 2048;
/// Maximum depth of a call chain; see call_context::depth.
inline constexpr std::uint32_t max_depth = 64;

/// Encodes a context as a header value.
std::string encode_context(const call_context& context);
/// Decodes a header value. Fails with a wire_failure if it is not an encoded context or a field is
/// out of range.
absl::StatusOr<call_context> decode_context(std::string_view text);

/// Encodes the information as a header value.
std::string encode_answer_info(const answer_info& info);
/// Decodes a header value. Fails with a wire_failure.
absl::StatusOr<answer_info> decode_answer_info(std::string_view text);

/// Serializes a message to protobuf bytes.
std::string encode_control(const control_message& message);
/// Parses protobuf bytes. Fails with a wire_failure.
absl::StatusOr<control_message> decode_control(std::string_view bytes);

/// Returns the value of the member `trefoil` of a W3C baggage header; empty if there is none.
std::string_view find_baggage(std::string_view header);
/// Returns the baggage header without the member `trefoil`.
std::string strip_baggage(std::string_view header);

} // namespace trefoil
