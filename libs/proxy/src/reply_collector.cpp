#include "reply_collector.hpp"

#include <trefoil/base/overloaded.hpp>

namespace trefoil {

std::string_view name_of(attempt_error error) {
    return error == attempt_error::connection_lost ? "connection_lost" : "bad_answer";
}

std::optional<attempt_event> reply_collector::handle(http1::exchange_event event) {
    using result = std::optional<attempt_event>;
    return std::visit(
        overloaded{[&](http1::response_head& head) -> result {
                       head_ = std::move(head);
                       return std::nullopt;
                   },
                   [&](http1::body_piece& piece) { return handle_piece(std::move(piece)); },
                   [&](http1::message_end& end) -> result {
                       if (is_streaming_) {
                           return end;
                       }
                       return attempt_reply{
                           std::move(head_), std::move(body_), true, {}, downstream_state::none};
                   },
                   [&](http1::exchange_failure why) -> result {
                       if (why == http1::exchange_failure::not_sent) {
                           return make_refusal(refusal::target_down);
                       }
                       return attempt_failure{why == http1::exchange_failure::connection_lost
                                                  ? attempt_error::connection_lost
                                                  : attempt_error::bad_answer};
                   }},
        event);
}

std::optional<attempt_event> reply_collector::handle_piece(http1::body_piece piece) {
    if (is_streaming_) {
        return piece;
    }
    body_ += piece.bytes;
    if (body_.size() <= max_buffered_bytes) {
        return std::nullopt;
    }
    is_streaming_ = true;
    return attempt_reply{std::move(head_), std::move(body_), false, {}, downstream_state::none};
}

} // namespace trefoil
