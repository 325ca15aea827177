#include "inbound_calls.hpp"

#include <fmt/format.h>

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

service_status service_status_of(int status) {
    constexpr int shed_status = 503;
    constexpr int first_error_status = 500;
    if (status == shed_status) {
        return service_status::shed;
    }
    return status >= first_error_status ? service_status::application_error
                                        : service_status::answered;
}

} // namespace

void inbound_calls::arrive(call_id call, reply_address reply, request_ptr request,
                           call_context context) {
    const auto deadline = state_.now + context.remaining;
    inbound_call entry{reply,    std::move(request), std::move(context), state_.now,
                       deadline, time_point{},       attempt_id{},       0,
                       0};
    ++state_.metrics.local_calls[entry.context.kind].offered;
    refusal reason = refusal::no_table;
    if (state_.table_in_force) {
        const auto& row = state_.table_in_force->row_or_default(entry.context.kind);
        entry.max_bytes = row.max_bytes;
        reason = refusal_on_arrival(entry, row);
        entry.kind_limit = row.max_in_flight;
        if (reason == refusal::none) {
            reason = offer_unless_quarantined(call, entry);
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
    const auto position = admission_position(call.context.priority, call.context.request);
    const bool is_shed_downstream =
        state_.settings.admission.policy.chain_level &&
        position >= state_.downstream.lowest_threshold(state_.now, call.context.kind);
    return is_shed_downstream ? refusal::chain_level : refusal::none;
}

refusal inbound_calls::offer_unless_quarantined(call_id call, const inbound_call& entry) {
    const auto request = fingerprint_of(entry.context.kind, *entry.request);
    switch (state_.request_quarantine.arrive(state_.now, call, request, entry.context.is_suspect)) {
    case quarantine_verdict::pass:
        return offer(call, entry);
    case quarantine_verdict::hold:
        return refusal::none;
    case quarantine_verdict::refuse:
        break;
    }
    return refusal::quarantined;
}

refusal inbound_calls::offer(call_id call, const inbound_call& entry) {
    return state_.admission_control.offer(
        state_.now, {call, entry.context.kind,
                     admission_position(entry.context.priority, entry.context.request),
                     entry.deadline, entry.kind_limit});
}

void inbound_calls::apply_quarantine() {
    for (const auto& change : state_.request_quarantine.take_changes(state_.now)) {
        // Refusing an earlier call of this loop may have ended further ones.
        const auto found = calls_.find(change.call);
        if (found == calls_.end()) {
            continue;
        }
        auto reason = refusal::none;
        switch (change.verdict) {
        case quarantine_verdict::pass:
            reason = offer(change.call, found->second);
            break;
        case quarantine_verdict::hold:
            state_.admission_control.withdraw(change.call);
            break;
        case quarantine_verdict::refuse:
            state_.admission_control.withdraw(change.call);
            reason = refusal::quarantined;
            break;
        }
        if (reason != refusal::none) {
            refuse(change.call, reason);
        }
    }
}

void inbound_calls::abandon(call_id call) {
    const auto found = calls_.find(call);
    if (found == calls_.end()) {
        return;
    }
    state_.request_quarantine.ended(state_.now, call, run_result::abandoned);
    auto& entry = found->second;
    if (entry.is_in_flight()) {
        state_.pending_actions.emplace_back(cancel_attempt{entry.attempt});
        by_attempt_.erase(entry.attempt);
        state_.ledger.close(call);
        state_.aborted_parents.push_back(call);
        state_.admission_control.finished(
            state_.now, call, {state_.now - entry.dispatched_at, service_status::abandoned});
    } else {
        state_.admission_control.withdraw(call);
    }
    calls_.erase(found);
}

void inbound_calls::target_answered(attempt_id attempt, const answer_ptr& answer,
                                    const answer_info& declared) {
    const auto found = by_attempt_.find(attempt);
    if (found == by_attempt_.end()) {
        return;
    }
    const auto call = found->second;
    // If the target has made calls on behalf of this one, it has run part of it, whatever it
    // declares.
    if (declared.result == outcome::not_run && !state_.ledger.has_calls(call)) {
        auto info =
            make_refusal(refusal::overload, state_.ledger.close(call), state_.settings.incarnation);
        info.load = state_.admission_control.load();
        state_.request_quarantine.ended(state_.now, call, run_result::abandoned);
        complete_at_target(call, {nullptr, info}, service_status::shed);
        return;
    }
    answer_info info;
    info.result = outcome::completed;
    info.unused_tokens = state_.ledger.retire(state_.now, call);
    info.incarnation = state_.settings.incarnation;
    info.load = state_.load_reports.take(state_.now, state_.admission_control.load());
    const auto target_status = service_status_of(answer->status);
    const bool was_run = target_status != service_status::shed;
    state_.request_quarantine.ended(state_.now, call,
                                    was_run ? run_result::completed : run_result::abandoned);
    complete_at_target(call, {answer, info}, target_status);
}

void inbound_calls::target_failed(attempt_id attempt, attempt_failure failure) {
    const auto found = by_attempt_.find(attempt);
    if (found == by_attempt_.end()) {
        return;
    }
    const auto call = found->second;
    state_.aborted_parents.push_back(call);
    answer_info info =
        make_refusal(reason_of(failure), state_.ledger.close(call), state_.settings.incarnation);
    if (failure != attempt_failure::not_sent) {
        info.result = outcome::unknown;
    }
    if (info.reason == refusal::connection_lost) {
        state_.request_quarantine.ended(state_.now, call, run_result::lost);
        log_suspect(calls_.at(call));
    }
    const bool is_timeout = failure == attempt_failure::timed_out;
    complete_at_target(call, {nullptr, info},
                       is_timeout ? service_status::abandoned : service_status::failed);
}

void inbound_calls::complete_at_target(call_id call, const call_completion& completion,
                                       service_status target_status) {
    auto& entry = calls_.at(call);
    by_attempt_.erase(entry.attempt);
    state_.admission_control.finished(state_.now, call,
                                      {state_.now - entry.dispatched_at, target_status});
    this->complete(call, completion);
}

void inbound_calls::log_suspect(const inbound_call& entry) {
    const auto request = fingerprint_of(entry.context.kind, *entry.request);
    const auto state = state_.request_quarantine.state(state_.now, request);
    if (!state) {
        return;
    }
    const bool is_convicted = *state == suspicion::convicted;
    state_.log(is_convicted ? log_event::request_convicted : log_event::request_suspected,
               {{"fingerprint", fmt::format("{:016x}", request)},
                {"kind", entry.context.kind},
                {"method", entry.request->method},
                {"path", entry.request->path}});
}

void inbound_calls::advance() {
    expire_deadlines();
    if (state_.must_refuse_queued()) {
        refuse_queued(refusal::leaving);
    }
    if (state_.pause.is_dispatch_blocked(state_.now)) {
        return;
    }
    apply_quarantine();
    state_.ledger.expire(state_.now);
    for (const auto& change : state_.admission_control.advance(state_.now)) {
        if (change.reason == refusal::none) {
            dispatch_to_target(change.call);
        } else {
            refuse(change.call, change.reason);
        }
    }
}

void inbound_calls::refuse_queued(refusal reason) {
    std::vector<call_id> waiting;
    for (const auto& [call, entry] : calls_) {
        if (!entry.is_in_flight()) {
            waiting.push_back(call);
        }
    }
    for (const auto call : waiting) {
        if (calls_.contains(call)) {
            state_.admission_control.withdraw(call);
            refuse(call, reason);
        }
    }
}

void inbound_calls::dispatch_to_target(call_id call) {
    auto& entry = calls_.at(call);
    entry.attempt = state_.next_attempt();
    entry.dispatched_at = state_.now;
    state_.request_quarantine.handed(state_.now, call);
    by_attempt_.emplace(entry.attempt, call);
    state_.ledger.open(call, entry.context.retry_tokens, entry.context.kind);
    auto context = entry.context;
    context.remaining = entry.deadline - state_.now;
    context.parent_call = call;
    context.parent_incarnation = state_.settings.incarnation;
    state_.pending_actions.emplace_back(start_attempt{entry.attempt, target_destination{},
                                                      entry.request, context, context.remaining,
                                                      entry.max_bytes});
}

void inbound_calls::refuse(call_id call, refusal reason) {
    const auto& entry = calls_.at(call);
    auto info = make_refusal(reason, entry.context.retry_tokens, state_.settings.incarnation);
    info.load = state_.admission_control.load();
    complete(call, {nullptr, info});
}

void inbound_calls::complete(call_id call, const call_completion& completion) {
    const auto found = calls_.find(call);
    const auto entry = std::move(found->second);
    calls_.erase(found);
    state_.request_quarantine.ended(state_.now, call, run_result::abandoned);
    record_call_result(state_.metrics.local_calls[entry.context.kind], completion.info,
                       completion.answer ? completion.answer->status : 0,
                       state_.now - entry.arrived);
    std::visit(
        overloaded{
            [&](const reply_to_listener& reply) {
                state_.pending_actions.emplace_back(
                    send_response{reply.call, completion.answer, completion.info, {}});
            },
            [&](const reply_to_attempt& reply) { report_result_(reply.attempt, completion); },
        },
        entry.reply);
}

void inbound_calls::expire_deadlines() {
    while (!deadlines_.empty() && deadlines_.begin()->first <= state_.now) {
        const auto call = deadlines_.begin()->second;
        deadlines_.erase(deadlines_.begin());
        const auto found = calls_.find(call);
        if (found == calls_.end()) {
            continue;
        }
        if (found->second.is_in_flight()) {
            state_.pending_actions.emplace_back(cancel_attempt{found->second.attempt});
            target_failed(found->second.attempt, attempt_failure::timed_out);
        } else {
            state_.admission_control.withdraw(call);
            refuse(call, refusal::deadline);
        }
    }
}

std::optional<time_point> inbound_calls::next_wake() const {
    const bool is_blocked = state_.pause.is_dispatch_blocked(state_.now);
    auto wake = is_blocked ? std::nullopt : state_.admission_control.next_deadline();
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
