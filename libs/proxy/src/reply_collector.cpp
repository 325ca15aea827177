#include "reply_collector.hpp"

#include <trefoil/base/overloaded.hpp>

namespace trefoil {

std::string_view name_of(attempt_problem problem) {
    return problem == attempt_problem::connection_lost ? "connection_lost" : "bad_answer";
}

std::optional<attempt_event> reply_collector::take(http1::exchange_event event) {
    using result = std::optional<attempt_event>;
    return std::visit(
        overloaded{[&](http1::response_head& head) -> result {
                       head_ = std::move(head);
                       return std::nullopt;
                   },
                   [&](http1::body_piece& piece) { return take_piece(std::move(piece)); },
                   [&](http1::message_end& end) -> result {
                       if (is_passing_) {
                           return end;
                       }
                       return attempt_reply{
                           std::move(head_), std::move(body_), true, {}, state_below::none};
                   },
                   [&](http1::exchange_failure why) -> result {
                       if (why == http1::exchange_failure::not_sent) {
                           return refused_for(refusal::target_down);
                       }
                       return attempt_failure{why == http1::exchange_failure::lost
                                                  ? attempt_problem::connection_lost
                                                  : attempt_problem::bad_answer};
                   }},
        event);
}

std::optional<attempt_event> reply_collector::take_piece(http1::body_piece piece) {
    if (is_passing_) {
        return piece;
    }
    body_ += piece.bytes;
    if (body_.size() <= max_held_bytes) {
        return std::nullopt;
    }
    is_passing_ = true;
    return attempt_reply{std::move(head_), std::move(body_), false, {}, state_below::none};
}

} // namespace trefoil
