// Conversion between HTTP messages and the calls, contexts and answers of the core.
#pragma once

#include <optional>

#include <absl/status/statusor.h>

#include <trefoil/core/events.hpp>
#include <trefoil/http/http_client.hpp>
#include <trefoil/wire/http_message.hpp>

namespace trefoil {

/// Header that carries the incarnation of the sending node.
inline constexpr std::string_view sender_header = "trefoil-sender";
/// Header that carries the caller's identity to the node that issued an idempotency key.
inline constexpr std::string_view caller_header = "trefoil-caller";

/// Sanitizes a request from a caller: removes the headers and the baggage member that are internal
/// to trefoilsail, and identifies the caller by a hash of its credentials or else by its address. A
/// Host header that is empty or holds an address selects the local service.
http_request clean_caller_request(http_request request, const service_name& local_service);

/// Returns the call context from the application's baggage header, or nothing if it has none. Fails
/// with a wire_failure.
absl::StatusOr<std::optional<call_context>> app_context(const http_request& request);

/// A request from a peer, with the context and the incarnation that the peer sent in headers.
struct peer_call {
    http_request request;
    std::optional<call_context> context;
    incarnation_id sender;
};

/// Extracts the context and the sender from a peer's request and removes the internal headers.
/// Fails with a wire_failure.
absl::StatusOr<peer_call> read_peer_call(http_request request);

/// Builds the request for the target; the context is sent in the baggage header.
http_request to_target_request(const http_request& request, const call_context& context);

/// Builds the request for a peer; context, sender and caller are sent in internal headers.
http_request to_peer_request(const http_request& request,
                             const std::optional<call_context>& context, incarnation_id self);

/// Converts the target's answer, or the failure of the exchange, to an event of the core. An
/// answered call counts as completed unless the answer has the header `trefoil-outcome: not_run`.
event target_event(attempt_id attempt, exchange_result result);

/// Converts a peer's answer, or the failure of the exchange, to an event of the core.
event peer_event(attempt_id attempt, exchange_result result);

/// Builds the answer to a peer. `answer` is null if the call has none.
http_answer to_peer_answer(const answer_ptr& answer, const answer_info& info);

/// Builds the answer to a caller or the application. `answer` is null if the call has none; the
/// idempotency key is sent only in that case.
http_answer to_caller_answer(const answer_ptr& answer, const answer_info& info,
                             const std::string& idempotency_key);

} // namespace trefoil
