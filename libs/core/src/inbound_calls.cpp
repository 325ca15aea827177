#include "inbound_calls.hpp"

#include <trefoil/admission/admission_position.hpp>
#include <trefoil/base/overloaded.hpp>

namespace trefoil {
namespace {

refusal reason_of(attempt_failure failure) {
    switch (failure) {
    case attempt_failure::not_sent:
        return refusal::target_down;
    case attempt_failure::timed_out:
        return refusal::deadline;
    case attempt_failure::answer_too_large:
        return refusal::too_large;
    case attempt_failure::connection_lost:
    case attempt_failure::bad_answer:
        return refusal::connection_lost;
    }
    return refusal::connection_lost;
}

} // namespace

void inbound_calls::arrive(call_id call, reply_address reply, request_ptr request,
                           call_context context) {
    const auto deadline = state_.now + context.remaining;
    inbound_call entry{reply,    std::move(request), std::move(context), state_.now,
                       deadline, time_point{},       attempt_id{},       0};
    ++state_.metrics.legs[entry.context.kind].offered;
    refusal reason = refusal::no_table;
    if (state_.current) {
        const auto& row = state_.current->row_or_default(entry.context.kind);
        entry.max_bytes = row.max_bytes;
        reason = refusal_on_arrival(entry, row);
        if (reason == refusal::none) {
            reason = state_.admitter.offer(
                state_.now, {call, entry.context.kind,
                             admission_position(entry.context.priority, entry.context.request),
                             deadline, row.max_in_flight});
        }
    }
    const bool is_admitted = reason == refusal::none;
    calls_.emplace(call, std::move(entry));
    if (is_admitted) {
        deadlines_.emplace(deadline, call);
    } else {
        refuse(call, reason);
    }
}

refusal inbound_calls::refusal_on_arrival(const inbound_call& call, const table_row& row) {
    if (state_.is_leaving()) {
        return refusal::leaving;
    }
    if (call.request->body.size() > row.max_bytes) {
        return refusal::too_large;
    }
    return refusal::none;
}

void inbound_calls::abandon(call_id call) {
    const auto found = calls_.find(call);
    if (found == calls_.end()) {
        return;
    }
    auto& entry = found->second;
    if (entry.is_in_flight()) {
        state_.out.emplace_back(cancel_attempt{entry.attempt});
        by_attempt_.erase(entry.attempt);
        state_.ledger.close(call);
        state_.admitter.finished(state_.now, call, {state_.now - entry.handed_at, false});
    } else {
        state_.admitter.withdraw(call);
    }
    calls_.erase(found);
}

void inbound_calls::target_answered(attempt_id attempt, const answer_ptr& answer,
                                    const answer_info&) {
    const auto found = by_attempt_.find(attempt);
    if (found == by_attempt_.end()) {
        return;
    }
    const auto call = found->second;
    answer_info info;
    info.result = outcome::completed;
    info.unused_tokens = state_.ledger.close(call);
    info.incarnation = state_.settings.incarnation;
    info.load = state_.load_reports.take(state_.now, state_.admitter.load());
    constexpr int shed_status = 503;
    finish_at_target(call, {answer, info}, answer->status != shed_status);
}

void inbound_calls::target_failed(attempt_id attempt, attempt_failure failure) {
    const auto found = by_attempt_.find(attempt);
    if (found == by_attempt_.end()) {
        return;
    }
    const auto call = found->second;
    answer_info info =
        refused(reason_of(failure), state_.ledger.close(call), state_.settings.incarnation);
    if (failure != attempt_failure::not_sent) {
        info.result = outcome::unknown;
    }
    finish_at_target(call, {nullptr, info}, false);
}

void inbound_calls::finish_at_target(call_id call, const call_end& end, bool succeeded) {
    auto& entry = calls_.at(call);
    by_attempt_.erase(entry.attempt);
    state_.admitter.finished(state_.now, call, {state_.now - entry.handed_at, succeeded});
    this->end(call, end);
}

void inbound_calls::advance() {
    time_out_in_flight();
    for (const auto& change : state_.admitter.advance(state_.now)) {
        if (change.reason == refusal::none) {
            hand_to_target(change.call);
        } else {
            refuse(change.call, change.reason);
        }
    }
}

void inbound_calls::hand_to_target(call_id call) {
    auto& entry = calls_.at(call);
    entry.attempt = state_.next_attempt();
    entry.handed_at = state_.now;
    by_attempt_.emplace(entry.attempt, call);
    state_.ledger.open(call, entry.context.retry_tokens);
    auto context = entry.context;
    context.remaining = entry.deadline - state_.now;
    context.parent_call = call;
    context.parent_incarnation = state_.settings.incarnation;
    state_.out.emplace_back(start_attempt{entry.attempt, target_destination{}, entry.request,
                                          context, context.remaining, entry.max_bytes});
}

void inbound_calls::refuse(call_id call, refusal reason) {
    const auto& entry = calls_.at(call);
    auto info = refused(reason, entry.context.retry_tokens, state_.settings.incarnation);
    info.load = state_.admitter.load();
    end(call, {nullptr, info});
}

void inbound_calls::end(call_id call, const call_end& end) {
    const auto found = calls_.find(call);
    const auto entry = std::move(found->second);
    calls_.erase(found);
    record_end(state_.metrics.legs[entry.context.kind], end.info,
               end.answer ? end.answer->status : 0, state_.now - entry.arrived);
    std::visit(overloaded{
                   [&](const reply_to_listener& reply) {
                       state_.out.emplace_back(respond{reply.call, end.answer, end.info, {}});
                   },
                   [&](const reply_to_attempt& reply) { sink_(reply.attempt, end); },
               },
               entry.reply);
}

void inbound_calls::time_out_in_flight() {
    while (!deadlines_.empty() && deadlines_.begin()->first <= state_.now) {
        const auto call = deadlines_.begin()->second;
        deadlines_.erase(deadlines_.begin());
        const auto found = calls_.find(call);
        if (found == calls_.end()) {
            continue;
        }
        if (found->second.is_in_flight()) {
            state_.out.emplace_back(cancel_attempt{found->second.attempt});
            target_failed(found->second.attempt, attempt_failure::timed_out);
        } else {
            state_.admitter.withdraw(call);
            refuse(call, refusal::deadline);
        }
    }
}

std::optional<time_point> inbound_calls::next_wake() const {
    auto wake = state_.admitter.next_deadline();
    if (!deadlines_.empty()) {
        const auto first = deadlines_.begin()->first;
        wake = wake ? std::min(*wake, first) : first;
    }
    return wake;
}

const call_context* inbound_calls::context_of(call_id call) const {
    const auto found = calls_.find(call);
    const bool is_in_flight = found != calls_.end() && found->second.is_in_flight();
    return is_in_flight ? &found->second.context : nullptr;
}

time_point inbound_calls::deadline_of(call_id call) const {
    return calls_.at(call).deadline;
}

} // namespace trefoil
