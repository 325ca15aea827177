// How calls, contexts and answers are written in HTTP between callers, targets and nodes.
#pragma once

#include <optional>

#include <absl/status/statusor.h>

#include <trefoil/core/events.hpp>
#include <trefoil/http/http_client.hpp>
#include <trefoil/wire/http_message.hpp>

namespace trefoil {

/// Header that names the run of the sending node.
inline constexpr std::string_view sender_header = "trefoil-sender";
/// Header that carries the caller's identity to the owner of an idempotency key.
inline constexpr std::string_view caller_header = "trefoil-caller";

/// A request from a caller: all of this system's own headers are taken off, and the caller is named
/// by its credentials or else its address. A Host that is an address means the own service.
http_request clean_caller_request(http_request request, const service_name& own_service);

/// The context in the application's baggage, if there is one. Fails with a wire_failure.
absl::StatusOr<std::optional<call_context>> app_context(const http_request& request);

/// What a peer sent beside its request.
struct peer_call {
    http_request request;
    std::optional<call_context> context;
    incarnation_id sender;
};

/// Reads a peer's request. Fails with a wire_failure.
absl::StatusOr<peer_call> read_peer_call(http_request request);

/// The request as it is sent to the target.
http_request to_target_request(const http_request& request, const call_context& context);

/// The request as it is sent to a peer.
http_request to_peer_request(const http_request& request,
                             const std::optional<call_context>& context, incarnation_id self);

/// The event that a target's answer or its failure means.
event target_event(attempt_id attempt, exchange_result result);

/// The event that a peer's answer or its failure means.
event peer_event(attempt_id attempt, exchange_result result);

/// The answer that a peer is sent.
http_answer to_peer_answer(const answer_ptr& answer, const answer_info& info);

/// The answer that a caller or the application is sent.
http_answer to_outer_answer(const answer_ptr& answer, const answer_info& info,
                            const std::string& idempotency_key);

} // namespace trefoil
