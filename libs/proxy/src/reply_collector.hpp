// Buffers a response until it is complete or exceeds a size.
#pragma once

#include <optional>
#include <string>

#include <trefoil/http1/client.hpp>

#include "attempt.hpp"

namespace trefoil {

/// Buffers small responses, so that the caller receives nothing of a response that is truncated and
/// the request can be retried. Larger responses are streamed.
class reply_collector {
public:
    /// Maximum number of body bytes that are buffered.
    static constexpr std::size_t max_buffered_bytes = 64U << 10U;

    /// Returns the attempt event that results from an event of the exchange, if any.
    std::optional<attempt_event> handle(http1::exchange_event event);

private:
    std::optional<attempt_event> handle_piece(http1::body_piece piece);

    http1::response_head head_;
    std::string body_;
    bool is_streaming_ = false;
};

} // namespace trefoil
