// Holds an answer back until it is whole or large.
#pragma once

#include <optional>
#include <string>

#include <trefoil/http1/client.hpp>

#include "attempt.hpp"

namespace trefoil {

/// Joins the pieces of small answers, so that one that breaks off has shown nothing to the caller
/// and can be asked for again. Larger answers are passed on as they come.
class reply_collector {
public:
    /// Bytes of a body that are held back.
    static constexpr std::size_t max_held_bytes = 64U << 10U;

    /// What to pass on for an event of the exchange, if anything.
    std::optional<attempt_event> take(http1::exchange_event event);

private:
    std::optional<attempt_event> take_piece(http1::body_piece piece);

    http1::response_head head_;
    std::string body_;
    bool is_passing_ = false;
};

} // namespace trefoil
