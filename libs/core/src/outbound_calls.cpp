#include "outbound_calls.hpp"

#include <algorithm>

#include <trefoil/admission/admission_position.hpp>
#include <trefoil/wire/codec.hpp>

namespace trefoil {
namespace {

/// Upper end of the random wait before a retry.
constexpr duration retry_backoff = 20ms;

/// A call that lost its connection so often may have crashed as many targets and is not sent again.
constexpr std::uint32_t max_lost_attempts = 2;

attempt_result result_of(const call_end& end) {
    constexpr int first_server_error = 500;
    constexpr int shed_status = 503;
    const auto& info = end.info;
    if (info.result == outcome::completed) {
        const int status = end.answer ? end.answer->status : 0;
        const bool is_error = status >= first_server_error && status != shed_status;
        return is_error ? attempt_result::answered_error : attempt_result::answered;
    }
    switch (info.reason) {
    case refusal::overload:
    case refusal::level:
    case refusal::chain_level:
    case refusal::deadline:
        return attempt_result::refused_load;
    case refusal::leaving:
        return attempt_result::refused_leaving;
    case refusal::connection_lost:
    case refusal::target_down:
        return attempt_result::failed;
    default:
        return attempt_result::refused_request;
    }
}

/// Reasons for which another instance may still run the call.
bool another_instance_may_help(refusal reason) {
    switch (reason) {
    case refusal::overload:
    case refusal::level:
    case refusal::leaving:
    case refusal::kind_limit:
    case refusal::target_down:
    case refusal::connection_lost:
    case refusal::no_table:
        return true;
    default:
        return false;
    }
}

} // namespace

void outbound_calls::arrive_from_caller(call_id call, request_ptr request, bool once) {
    if (!state_.current) {
        sink_(call, {nullptr, refused(refusal::no_table, 0, state_.settings.incarnation)});
        return;
    }
    const auto& row = state_.current->match(request->service, request->method, request->path);
    outbound_call entry;
    entry.context.request = {state_.random(), state_.random()};
    entry.context.kind = row.kind;
    entry.context.priority = row.priority;
    entry.context.once = once || row.once;
    entry.request = std::move(request);
    entry.arrived = state_.now;
    entry.deadline = state_.now + row.deadline;
    entry.is_edge = true;
    entry.max_bytes = row.max_bytes;
    entry.tokens = row.retries;
    ++state_.metrics.edge[row.kind].offered;
    begin(call, std::move(entry));
}

void outbound_calls::arrive_from_app(call_id call, request_ptr request, const call_context* parent,
                                     time_point parent_deadline, call_id parent_call) {
    if (!state_.current) {
        state_.out.emplace_back(
            respond{call, nullptr, refused(refusal::no_table, 0, state_.settings.incarnation), {}});
        return;
    }
    outbound_call entry;
    entry.arrived = state_.now;
    if (parent != nullptr) {
        entry.context = *parent;
        ++entry.context.depth;
        entry.deadline = parent_deadline;
        entry.parent = parent_call;
        entry.max_bytes = state_.current->row_or_default(parent->kind).max_bytes;
        entry.tokens = state_.ledger.lend(parent_call);
    } else {
        const auto& row = state_.current->match(request->service, request->method, request->path);
        entry.context.request = {state_.random(), state_.random()};
        entry.context.kind = row.kind;
        entry.context.priority = row.priority;
        entry.context.once = row.once;
        entry.deadline = state_.now + row.deadline;
        entry.max_bytes = row.max_bytes;
    }
    entry.request = std::move(request);
    begin(call, std::move(entry));
}

void outbound_calls::begin(call_id call, outbound_call entry) {
    const bool too_deep = entry.context.depth > max_depth;
    const bool too_large = entry.request->body.size() > entry.max_bytes;
    const bool is_shed = entry.is_edge && is_shed_below(entry);
    wakes_.emplace(entry.deadline, call);
    calls_.emplace(call, std::move(entry));
    if (too_deep || too_large) {
        const auto reason = too_deep ? refusal::bad_request : refusal::too_large;
        finish(call, {nullptr, refused(reason, 0, state_.settings.incarnation)});
        return;
    }
    if (is_shed) {
        finish(call, {nullptr, refused(refusal::chain_level, 0, state_.settings.incarnation)});
        return;
    }
    try_next(call);
}

bool outbound_calls::is_shed_below(const outbound_call& call) const {
    const auto position = admission_position(call.context.priority, call.context.request);
    return state_.settings.admission.policy.chain_level &&
           position >= state_.chain.first_leg_threshold(state_.now, call.request->service,
                                                        call.context.kind);
}

void outbound_calls::try_next(call_id call) {
    auto& entry = calls_.at(call);
    entry.retry_at.reset();
    const auto suspected = suspicion_of(entry);
    if (suspected == suspicion::convicted) {
        const call_end refusal_end{nullptr,
                                   refused(refusal::quarantined, 0, state_.settings.incarnation)};
        finish(call, entry.last_end.value_or(refusal_end));
        return;
    }
    const auto chosen = state_.route.pick(state_.now, state_.members, entry.request->service,
                                          entry.tried, state_.random);
    if (!chosen) {
        const call_end none{nullptr, refused(refusal::no_instance, 0, state_.settings.incarnation)};
        finish(call, entry.last_end.value_or(none));
        return;
    }
    if (entry.last_end) {
        --entry.tokens;
        ++state_.metrics.legs[entry.context.kind].retries;
    }
    entry.attempt = state_.next_attempt();
    entry.instance = chosen->instance;
    entry.tried.push_back(chosen->instance);
    by_attempt_.emplace(entry.attempt, call);
    state_.route.started(chosen->instance);
    auto context = entry.context;
    context.remaining = entry.deadline - state_.now;
    context.is_suspect = suspected.has_value() || entry.lost_attempts > 0;
    // One token stays here, so that the loss of this attempt leaves one for a retry.
    const std::uint32_t kept = std::min<std::uint32_t>(entry.tokens, 1);
    entry.lent = entry.tokens - kept;
    context.retry_tokens = entry.lent;
    entry.tokens = kept;
    if (chosen->instance == state_.settings.self) {
        start_local_(entry.attempt, entry.request, context);
        return;
    }
    state_.out.emplace_back(
        start_attempt{entry.attempt, peer_destination{chosen->instance, chosen->peer},
                      entry.request, context, context.remaining, entry.max_bytes});
}

void outbound_calls::attempt_answered(attempt_id attempt, const call_end& end) {
    const auto found = by_attempt_.find(attempt);
    if (found != by_attempt_.end()) {
        attempt_ended(found->second, end, result_of(end));
    }
}

void outbound_calls::attempt_failed(attempt_id attempt, attempt_failure failure) {
    const auto found = by_attempt_.find(attempt);
    if (found == by_attempt_.end()) {
        return;
    }
    answer_info info = refused(refusal::connection_lost, 0, state_.settings.incarnation);
    if (failure == attempt_failure::not_sent) {
        info.reason = refusal::target_down;
        info.unused_tokens = calls_.at(found->second).lent;
    } else {
        info.result = outcome::unknown;
    }
    if (failure == attempt_failure::timed_out) {
        info.reason = refusal::deadline;
    } else if (failure == attempt_failure::answer_too_large) {
        info.reason = refusal::too_large;
    }
    const bool timed_out = failure == attempt_failure::timed_out;
    attempt_ended(found->second, {nullptr, info},
                  timed_out ? attempt_result::timed_out : attempt_result::failed);
}

void outbound_calls::attempt_ended(call_id call, const call_end& end, attempt_result result) {
    auto& entry = calls_.at(call);
    by_attempt_.erase(entry.attempt);
    entry.attempt = {};
    entry.tokens += end.info.unused_tokens;
    state_.route.finished(state_.now, entry.instance, result, end.info.load);
    if (result == attempt_result::refused_leaving) {
        state_.members.announce_leaving(entry.instance);
    }
    note_for_quarantine(entry, end.info);
    entry.last_end = end;
    entry.may_have_run = entry.may_have_run || end.info.result == outcome::unknown;
    if (may_retry(entry, end.info)) {
        schedule_retry(call);
    } else {
        finish(call, end);
    }
}

bool outbound_calls::may_retry(const outbound_call& call, const answer_info& info) const {
    const bool may_run_again =
        info.result == outcome::not_run || (info.result == outcome::unknown && !call.context.once);
    return may_run_again && call.tokens > 0 && another_instance_may_help(info.reason) &&
           call.lost_attempts < max_lost_attempts && state_.now < call.deadline;
}

void outbound_calls::note_for_quarantine(outbound_call& entry, const answer_info& info) {
    const bool was_lost =
        info.result == outcome::unknown && info.reason == refusal::connection_lost;
    if (was_lost) {
        ++entry.lost_attempts;
    }
    const bool is_of_note =
        was_lost || (info.result == outcome::completed && !state_.gate.is_idle());
    if (!is_of_note) {
        return;
    }
    const auto request = fingerprint_of(entry.context.kind, *entry.request);
    if (was_lost) {
        state_.gate.attempt_lost(state_.now, request);
    } else {
        state_.gate.attempt_completed(state_.now, request);
    }
}

std::optional<suspicion> outbound_calls::suspicion_of(const outbound_call& entry) const {
    if (state_.gate.is_idle()) {
        return std::nullopt;
    }
    return state_.gate.state(state_.now, fingerprint_of(entry.context.kind, *entry.request));
}

void outbound_calls::schedule_retry(call_id call) {
    auto& entry = calls_.at(call);
    const auto jitter =
        duration(static_cast<duration::rep>(state_.random.below(retry_backoff.count())));
    entry.retry_at = state_.now + jitter;
    wakes_.emplace(*entry.retry_at, call);
}

void outbound_calls::finish(call_id call, call_end end) {
    const auto found = calls_.find(call);
    const auto entry = std::move(found->second);
    calls_.erase(found);
    if (entry.may_have_run && end.info.result == outcome::not_run) {
        end.info.result = outcome::unknown;
    }
    end.info.unused_tokens = entry.tokens;
    if (entry.parent.value != 0) {
        state_.ledger.give_back(entry.parent, entry.tokens);
    }
    if (entry.is_edge) {
        record_end(state_.metrics.edge[entry.context.kind], end.info,
                   end.answer ? end.answer->status : 0, state_.now - entry.arrived);
    }
    sink_(call, end);
}

void outbound_calls::abandon(call_id call) {
    const auto found = calls_.find(call);
    if (found == calls_.end()) {
        return;
    }
    auto& entry = found->second;
    if (entry.attempt.value != 0) {
        by_attempt_.erase(entry.attempt);
        state_.route.finished(state_.now, entry.instance, attempt_result::withdrawn, {});
        if (entry.instance == state_.settings.self) {
            cancel_local_(entry.attempt);
        } else {
            state_.out.emplace_back(cancel_attempt{entry.attempt});
        }
    }
    if (entry.parent.value != 0) {
        state_.ledger.give_back(entry.parent, entry.tokens);
    }
    calls_.erase(found);
}

void outbound_calls::advance() {
    while (!wakes_.empty() && wakes_.begin()->first <= state_.now) {
        const auto call = wakes_.begin()->second;
        wakes_.erase(wakes_.begin());
        const auto found = calls_.find(call);
        if (found == calls_.end()) {
            continue;
        }
        if (found->second.deadline <= state_.now) {
            time_out(call);
        } else if (found->second.retry_at && *found->second.retry_at <= state_.now) {
            try_next(call);
        }
    }
}

void outbound_calls::time_out(call_id call) {
    auto& entry = calls_.at(call);
    auto info = refused(refusal::deadline, 0, state_.settings.incarnation);
    if (entry.attempt.value != 0) {
        info.result = outcome::unknown;
        by_attempt_.erase(entry.attempt);
        state_.route.finished(state_.now, entry.instance, attempt_result::timed_out, {});
        if (entry.instance == state_.settings.self) {
            cancel_local_(entry.attempt);
        } else {
            state_.out.emplace_back(cancel_attempt{entry.attempt});
        }
    }
    finish(call, {nullptr, info});
}

std::optional<time_point> outbound_calls::next_wake() const {
    return wakes_.empty() ? std::nullopt : std::optional(wakes_.begin()->first);
}

} // namespace trefoil
