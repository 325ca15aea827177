// HTTP responses for calls that were refused or failed.
#pragma once

#include <string>

#include <trefoil/wire/call_context.hpp>
#include <trefoil/wire/http_message.hpp>

namespace trefoil {

/// Returns the HTTP status code that corresponds to a refusal reason.
int http_status(refusal reason);

/// Builds the response to a caller or an application for a call that has no answer of its own:
/// status code, Trefoil-Outcome header and a problem document (RFC 9457). A Retry-After header is
/// added if the reason allows a retry, an Idempotency-Key header if the key is not empty.
http_answer make_refusal_answer(const answer_info& info, const std::string& idempotency_key);

} // namespace trefoil
