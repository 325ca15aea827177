#include "outbound_calls.hpp"

#include <algorithm>

#include <trefoil/admission/admission_position.hpp>
#include <trefoil/wire/codec.hpp>

namespace trefoil {
namespace {

/// Upper end of the random wait before the first retry; it doubles with each further one.
constexpr duration first_retry_backoff = 20ms;
constexpr duration max_retry_backoff = 200ms;
constexpr int first_server_error = 500;

/// A call that lost its connection so often may have crashed as many targets and is not sent again.
constexpr std::uint32_t max_lost_attempts = 2;

attempt_result result_of(const call_end& end) {
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

/// Reasons that say that the call was no load for the service.
bool is_free_of_load(refusal reason) {
    return reason == refusal::target_down || reason == refusal::leaving;
}

bool reports_failure(int status) {
    constexpr int request_timeout = 408;
    constexpr int too_many_requests = 429;
    return status >= first_server_error || status == request_timeout || status == too_many_requests;
}

call_result result_for_application(const call_end& end) {
    if (end.info.result == outcome::not_run) {
        return call_result::not_run;
    }
    const bool is_good =
        end.info.result == outcome::completed && end.answer && !reports_failure(end.answer->status);
    return is_good ? call_result::answered : call_result::failed;
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
    entry.deadline = state_.arrival() + row.deadline;
    entry.is_edge = true;
    entry.max_bytes = row.max_bytes;
    entry.account = call;
    state_.ledger.open(call, row.retries);
    ++state_.metrics.edge[row.kind].offered;
    begin(call, std::move(entry));
}

void outbound_calls::arrive_from_app(call_id call, request_ptr request, const app_parent& parent) {
    if (!state_.current) {
        refuse(call, refusal::no_table);
        return;
    }
    if (const auto* known = std::get_if<known_parent>(&parent)) {
        arrive_from_parent(call, std::move(request), *known);
        return;
    }
    if (std::holds_alternative<lost_parent>(parent)) {
        refuse(call, refusal::cancelled);
        return;
    }
    const auto& row = state_.current->match(request->service, request->method, request->path);
    outbound_call entry;
    entry.arrived = state_.now;
    entry.context.request = {state_.random(), state_.random()};
    entry.context.kind = row.kind;
    entry.context.priority = row.priority;
    entry.context.once = row.once;
    entry.deadline = state_.arrival() + row.deadline;
    entry.max_bytes = row.max_bytes;
    entry.request = std::move(request);
    begin(call, std::move(entry));
}

void outbound_calls::arrive_from_parent(call_id call, request_ptr request,
                                        const known_parent& parent) {
    const auto fingerprint = call_fingerprint(*request);
    if (join_equal_read(call, *request, parent, fingerprint)) {
        return;
    }
    outbound_call entry;
    entry.arrived = state_.now;
    entry.context = parent.context;
    ++entry.context.depth;
    entry.deadline = parent.deadline;
    entry.account = parent.call;
    entry.fingerprint = fingerprint;
    entry.max_bytes = state_.current->row_or_default(parent.context.kind).max_bytes;
    entry.request = std::move(request);
    const auto repetition = state_.ledger.begin_call(parent.call, fingerprint);
    if (const auto refused = refusal_of_repetition(entry, repetition)) {
        state_.ledger.end_call(parent.call, fingerprint, call_result::not_run);
        sink_(call, {nullptr, *refused});
        return;
    }
    if (is_safe_method(entry.request->method)) {
        reads_.begin(parent.call, fingerprint, call);
    }
    by_parent_.emplace(parent.call, call);
    begin(call, std::move(entry));
}

bool outbound_calls::join_equal_read(call_id call, const http_request& request,
                                     const known_parent& parent, std::uint64_t fingerprint) {
    const auto first = reads_.find(parent.call, fingerprint);
    if (!first || !is_safe_method(request.method)) {
        return false;
    }
    const auto& open = *calls_.at(*first).request;
    const bool is_equal = open.service == request.service && open.method == request.method &&
                          open.path == request.path && open.body == request.body;
    if (is_equal) {
        reads_.join(*first, call);
    }
    return is_equal;
}

std::optional<answer_info> outbound_calls::refusal_of_repetition(outbound_call& call,
                                                                 call_repetition repetition) {
    if (repetition == call_repetition::first) {
        return std::nullopt;
    }
    auto info = refused(refusal::no_retry_tokens, 0, state_.settings.incarnation);
    if (call.context.once && repetition == call_repetition::retry_of_possible_run) {
        info.result = outcome::unknown;
        return info;
    }
    if (!state_.ledger.spend(call.account)) {
        return info;
    }
    if (!state_.budget.spend(state_.now, call.request->service)) {
        state_.ledger.give_back(call.account, 1);
        return info;
    }
    call.spent_budget = true;
    ++state_.metrics.legs[call.context.kind].retries;
    return std::nullopt;
}

void outbound_calls::refuse(call_id call, refusal reason) {
    sink_(call, {nullptr, refused(reason, 0, state_.settings.incarnation)});
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
    if (state_.pause.is_reading(state_.now)) {
        entry.retry_at = state_.pause.reading_until();
        wakes_.emplace(*entry.retry_at, call);
        return;
    }
    entry.retry_at.reset();
    const auto suspected = suspicion_of(entry);
    if (suspected == suspicion::convicted) {
        const call_end refusal_end{nullptr,
                                   refused(refusal::quarantined, 0, state_.settings.incarnation)};
        state_.ledger.give_back(entry.account, entry.last_end ? 1 : 0);
        finish(call, entry.last_end.value_or(refusal_end));
        return;
    }
    const auto chosen = state_.route.pick(state_.now, state_.members, entry.request->service,
                                          entry.tried, state_.random);
    if (!chosen) {
        const call_end none{nullptr, refused(refusal::no_instance, 0, state_.settings.incarnation)};
        state_.ledger.give_back(entry.account, entry.last_end ? 1 : 0);
        finish(call, entry.last_end.value_or(none));
        return;
    }
    if (entry.last_end) {
        ++entry.retries;
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
    entry.lent = state_.ledger.lend(entry.account);
    context.retry_tokens = entry.lent;
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
    // A peer can't give back more than it was lent.
    state_.ledger.give_back(entry.account, std::min(end.info.unused_tokens, entry.lent));
    entry.lent = 0;
    if (end.answer && end.answer->status < first_server_error) {
        state_.budget.succeeded(state_.now, entry.request->service, entry.spent_budget);
    }
    state_.route.finished(state_.now, entry.instance, result, end.info.load);
    if (result == attempt_result::refused_leaving) {
        state_.announce_leaving(entry.instance, end.info.incarnation);
    }
    note_for_quarantine(entry, end.info);
    entry.last_end = end;
    entry.may_have_run = entry.may_have_run || end.info.result == outcome::unknown;
    entry.spent_budget = false;
    const auto retry_at = state_.now + retry_wait(entry);
    if (retry_at >= entry.deadline || !pay_for_retry(entry, end.info)) {
        finish(call, end);
        return;
    }
    entry.retry_at = retry_at;
    wakes_.emplace(retry_at, call);
}

bool outbound_calls::pay_for_retry(outbound_call& call, const answer_info& info) {
    const bool may_run_again =
        info.result == outcome::not_run || (info.result == outcome::unknown && !call.context.once);
    if (!state_.settings.retries_by_node || !may_run_again ||
        !another_instance_may_help(info.reason) || call.lost_attempts >= max_lost_attempts ||
        !state_.ledger.spend(call.account)) {
        return false;
    }
    if (is_free_of_load(info.reason)) {
        return true;
    }
    if (state_.budget.spend(state_.now, call.request->service)) {
        call.spent_budget = true;
        return true;
    }
    state_.ledger.give_back(call.account, 1);
    return false;
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

duration outbound_calls::retry_wait(const outbound_call& call) {
    const auto doubled = first_retry_backoff * (1U << std::min(call.retries, 10U));
    const auto longest = std::min(doubled, max_retry_backoff);
    return duration(static_cast<duration::rep>(
        state_.random.below(static_cast<std::uint64_t>(longest.count()))));
}

void outbound_calls::finish(call_id call, call_end end) {
    const auto found = calls_.find(call);
    const auto entry = std::move(found->second);
    calls_.erase(found);
    if (entry.may_have_run && end.info.result == outcome::not_run) {
        end.info.result = outcome::unknown;
    }
    end.info.unused_tokens = 0;
    settle(call, entry, result_for_application(end));
    if (entry.is_edge) {
        record_end(state_.metrics.edge[entry.context.kind], end.info,
                   end.answer ? end.answer->status : 0, state_.now - entry.arrived);
    }
    for (const auto waiting : reads_.end(entry.account, entry.fingerprint, call)) {
        sink_(waiting, end);
    }
}

void outbound_calls::settle(call_id call, const outbound_call& entry, call_result result) {
    if (entry.account == call) {
        state_.ledger.close(call);
    } else if (entry.account.value != 0) {
        state_.ledger.end_call(entry.account, entry.fingerprint, result);
        by_parent_.erase({entry.account, call});
    }
}

void outbound_calls::abandon(call_id sender) {
    const auto call = reads_.first_of(sender);
    const auto found = calls_.find(call);
    if (found == calls_.end() || !reads_.leave(sender)) {
        return;
    }
    auto& entry = found->second;
    if (entry.attempt.value != 0) {
        stop_attempt(entry, attempt_result::withdrawn);
    }
    settle(call, entry, call_result::failed);
    reads_.end(entry.account, entry.fingerprint, call);
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
            // After a gap the time ran out here, whatever the instance did.
            const auto result = state_.pause.is_reading(state_.now) ? attempt_result::withdrawn
                                                                    : attempt_result::timed_out;
            give_up(call, refusal::deadline, result);
        } else if (found->second.retry_at && *found->second.retry_at <= state_.now) {
            try_next(call);
        }
    }
}

void outbound_calls::give_up(call_id call, refusal reason, attempt_result result) {
    auto& entry = calls_.at(call);
    auto info = refused(reason, 0, state_.settings.incarnation);
    if (entry.attempt.value != 0) {
        info.result = outcome::unknown;
        stop_attempt(entry, result);
    }
    finish(call, {nullptr, info});
}

void outbound_calls::stop_attempt(const outbound_call& entry, attempt_result result) {
    by_attempt_.erase(entry.attempt);
    state_.route.finished(state_.now, entry.instance, result, {});
    if (entry.instance == state_.settings.self) {
        cancel_local_(entry.attempt);
    } else {
        state_.out.emplace_back(cancel_attempt{entry.attempt});
    }
}

void outbound_calls::withdraw_calls_of(call_id parent) {
    std::vector<call_id> calls;
    for (auto at = by_parent_.lower_bound({parent, call_id{}});
         at != by_parent_.end() && at->first == parent; ++at) {
        calls.push_back(at->second);
    }
    for (const auto call : calls) {
        give_up(call, refusal::cancelled, attempt_result::withdrawn);
    }
}

std::optional<time_point> outbound_calls::next_wake() const {
    return wakes_.empty() ? std::nullopt : std::optional(wakes_.begin()->first);
}

} // namespace trefoil
