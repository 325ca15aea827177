#include "chain_observer.hpp"

#include <algorithm>

#include <trefoil/base/overloaded.hpp>

namespace trefoil {

void chain_observer::on_event(const event& input) {
    std::visit(overloaded{
                   [&](const call_arrived& e) { observe(e); },
                   [&](const call_abandoned& e) { peer_calls_.erase(e.call); },
                   [&](const attempt_answered& e) { observe(e); },
                   [&](const attempt_failed& e) { peer_attempts_.erase(e.attempt); },
                   [](const auto&) {},
               },
               input);
}

void chain_observer::observe(const call_arrived& arrived) {
    if (arrived.received_on != listener_kind::peer || !arrived.context) {
        return;
    }
    peer_calls_[arrived.call] = arrived.sender_incarnation;
    reports_.called(arrived.sender_incarnation, arrived.context->kind, arrived.context->priority);
}

void chain_observer::observe(const attempt_answered& answered) {
    const auto found = peer_attempts_.find(answered.attempt);
    if (found == peer_attempts_.end()) {
        return;
    }
    for (const auto& level : answered.info.kind_thresholds) {
        state_.downstream.record(state_.now, found->second.origin, found->second.service, level);
    }
    peer_attempts_.erase(found);
}

void chain_observer::on_actions(actions& step_actions) {
    for (auto& produced : step_actions) {
        if (auto* answer = std::get_if<send_response>(&produced)) {
            add_thresholds(*answer);
        } else if (const auto* attempt = std::get_if<start_attempt>(&produced)) {
            if (std::holds_alternative<peer_destination>(attempt->to) && attempt->context) {
                const auto origin = attempt->context->depth == 0 ? call_origin::entry_caller
                                                                 : call_origin::local_target;
                peer_attempts_[attempt->attempt] = {attempt->request->service, origin};
            }
        } else if (const auto* cancelled = std::get_if<cancel_attempt>(&produced)) {
            peer_attempts_.erase(cancelled->attempt);
        }
    }
}

void chain_observer::add_thresholds(send_response& answer) {
    const auto found = peer_calls_.find(answer.call);
    if (found == peer_calls_.end()) {
        return;
    }
    if (reports_.is_due(state_.now, found->second)) {
        answer.info.kind_thresholds =
            reports_.report(state_.now, found->second,
                            [this](const std::string& kind) { return threshold_of(kind); });
    }
    peer_calls_.erase(found);
}

std::uint32_t chain_observer::threshold_of(const std::string& kind) const {
    return std::min(state_.admission_control.threshold(),
                    state_.downstream.lowest_threshold(state_.now, kind));
}

} // namespace trefoil
