// What callers and applications see of a call that has no answer.
#pragma once

#include <string>

#include <trefoil/wire/call_context.hpp>
#include <trefoil/wire/http_message.hpp>

namespace trefoil {

/// The HTTP status of a refusal.
int http_status(refusal reason);

/// The answer to a caller or an application for a call without an answer: status, Retry-After,
/// Trefoil-Outcome and a problem document (RFC 9457).
http_answer make_refusal_answer(const answer_info& info, const std::string& idempotency_key);

} // namespace trefoil
