// Forwards the body of a request to an attempt.
#pragma once

#include <trefoil/http1/server.hpp>

#include "attempt.hpp"

namespace trefoil {

/// Passes on what has arrived of a streamed body, unless `max_unsent_body_bytes` of it wait to be
/// written already, or `max_body_bytes_when_short` while the memory is short. The rest then stays
/// with the request, whose connection is no longer read from, until the attempt reports that it has
/// drained. Returns true once the whole body was passed on.
bool forward_body(http1::served_request& from, attempt& to, const http1::body_memory& memory);

} // namespace trefoil
