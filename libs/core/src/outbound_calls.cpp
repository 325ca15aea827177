#include "outbound_calls.hpp"

#include <algorithm>

#include <trefoil/admission/admission_position.hpp>
#include <trefoil/wire/codec.hpp>

namespace trefoil {
namespace {

/// Upper bound of the random delay before the first retry; it doubles with each further retry.
constexpr duration first_retry_backoff = 20ms;
constexpr duration max_retry_backoff = 200ms;
constexpr int first_server_error = 500;

/// No retry after this many lost connections, since the call may have crashed as many targets.
constexpr std::uint32_t max_lost_attempts = 2;

attempt_result result_of(const call_completion& completion) {
    constexpr int shed_status = 503;
    const auto& info = completion.info;
    if (info.result == outcome::completed) {
        const int status = completion.answer ? completion.answer->status : 0;
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

/// True if another instance may still run a call that was refused for this reason.
bool is_retryable_elsewhere(refusal reason) {
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

/// True if a refusal for this reason caused no load on the service.
bool caused_no_load(refusal reason) {
    return reason == refusal::target_down || reason == refusal::leaving;
}

bool reports_failure(int status) {
    constexpr int request_timeout = 408;
    constexpr int too_many_requests = 429;
    return status >= first_server_error || status == request_timeout || status == too_many_requests;
}

call_result result_for_application(const call_completion& completion) {
    if (completion.info.result == outcome::not_run) {
        return call_result::not_run;
    }
    const bool is_success = completion.info.result == outcome::completed && completion.answer &&
                            !reports_failure(completion.answer->status);
    return is_success ? call_result::answered : call_result::failed;
}

} // namespace

void outbound_calls::arrive_from_caller(call_id call, request_ptr request, bool once) {
    if (!state_.table_in_force) {
        report_result_(call,
                       {nullptr, make_refusal(refusal::no_table, 0, state_.settings.incarnation)});
        return;
    }
    const auto& row =
        state_.table_in_force->match(request->service, request->method, request->path);
    outbound_call entry;
    entry.context.request = {state_.random(), state_.random()};
    entry.context.kind = row.kind;
    entry.context.priority = row.priority;
    entry.context.once = once || row.once;
    entry.request = std::move(request);
    entry.arrived = state_.now;
    entry.deadline = state_.arrival_time() + row.deadline;
    entry.is_edge = true;
    entry.max_bytes = row.max_bytes;
    entry.account = call;
    state_.ledger.open(call, row.retries);
    ++state_.metrics.edge[row.kind].offered;
    begin(call, std::move(entry));
}

void outbound_calls::arrive_from_app(call_id call, request_ptr request, const app_parent& parent) {
    if (!state_.table_in_force) {
        refuse(call, refusal::no_table);
        return;
    }
    if (const auto* known = std::get_if<known_parent>(&parent)) {
        arrive_from_parent(call, std::move(request), *known);
        return;
    }
    if (std::holds_alternative<stale_parent>(parent)) {
        refuse(call, refusal::cancelled);
        return;
    }
    const auto& row =
        state_.table_in_force->match(request->service, request->method, request->path);
    outbound_call entry;
    entry.arrived = state_.now;
    entry.context.request = {state_.random(), state_.random()};
    entry.context.kind = row.kind;
    entry.context.priority = row.priority;
    entry.context.once = row.once;
    entry.deadline = state_.arrival_time() + row.deadline;
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
    entry.max_bytes = state_.table_in_force->row_or_default(parent.context.kind).max_bytes;
    entry.request = std::move(request);
    const auto repetition = state_.ledger.begin_call(parent.call, fingerprint);
    if (const auto refused = charge_application_retry(entry, repetition)) {
        state_.ledger.end_call(parent.call, fingerprint, call_result::not_run);
        report_result_(call, {nullptr, *refused});
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

std::optional<answer_info> outbound_calls::charge_application_retry(outbound_call& call,
                                                                    call_repetition repetition) {
    if (repetition == call_repetition::first) {
        return std::nullopt;
    }
    auto info = make_refusal(refusal::no_retry_tokens, 0, state_.settings.incarnation);
    if (call.context.once && repetition == call_repetition::retry_of_possible_run) {
        info.result = outcome::unknown;
        return info;
    }
    if (!state_.ledger.spend(call.account)) {
        return info;
    }
    if (!state_.budget.spend(state_.now, call.request->service)) {
        state_.ledger.refund(call.account, 1);
        return info;
    }
    call.spent_budget = true;
    ++state_.metrics.local_calls[call.context.kind].retries;
    return std::nullopt;
}

void outbound_calls::refuse(call_id call, refusal reason) {
    report_result_(call, {nullptr, make_refusal(reason, 0, state_.settings.incarnation)});
}

void outbound_calls::begin(call_id call, outbound_call entry) {
    const bool too_deep = entry.context.depth > max_depth;
    const bool too_large = entry.request->body.size() > entry.max_bytes;
    const bool is_shed = entry.is_edge && is_shed_downstream(entry);
    timers_.emplace(entry.deadline, call);
    calls_.emplace(call, std::move(entry));
    if (too_deep || too_large) {
        const auto reason = too_deep ? refusal::bad_request : refusal::too_large;
        finish(call, {nullptr, make_refusal(reason, 0, state_.settings.incarnation)});
        return;
    }
    if (is_shed) {
        finish(call, {nullptr, make_refusal(refusal::chain_level, 0, state_.settings.incarnation)});
        return;
    }
    start_next_attempt(call);
}

bool outbound_calls::is_shed_downstream(const outbound_call& call) const {
    const auto position = admission_position(call.context.priority, call.context.request);
    return state_.settings.admission.policy.chain_level &&
           position >= state_.downstream.entry_threshold(state_.now, call.request->service,
                                                         call.context.kind);
}

void outbound_calls::start_next_attempt(call_id call) {
    auto& entry = calls_.at(call);
    if (state_.pause.is_catching_up(state_.now)) {
        entry.retry_at = state_.pause.catch_up_until();
        timers_.emplace(*entry.retry_at, call);
        return;
    }
    entry.retry_at.reset();
    const auto suspected = suspicion_of(entry);
    if (suspected == suspicion::convicted) {
        const call_completion refusal_completion{
            nullptr, make_refusal(refusal::quarantined, 0, state_.settings.incarnation)};
        state_.ledger.refund(entry.account, entry.last_completion ? 1 : 0);
        finish(call, entry.last_completion.value_or(refusal_completion));
        return;
    }
    const auto chosen = state_.request_router.pick(
        state_.now, state_.members, entry.request->service, entry.tried, state_.random);
    if (!chosen) {
        const call_completion none{
            nullptr, make_refusal(refusal::no_instance, 0, state_.settings.incarnation)};
        state_.ledger.refund(entry.account, entry.last_completion ? 1 : 0);
        finish(call, entry.last_completion.value_or(none));
        return;
    }
    if (entry.last_completion) {
        ++entry.retries;
        ++state_.metrics.local_calls[entry.context.kind].retries;
    }
    entry.attempt = state_.next_attempt();
    entry.instance = chosen->instance;
    entry.tried.push_back(chosen->instance);
    by_attempt_.emplace(entry.attempt, call);
    state_.request_router.started(chosen->instance);
    auto context = entry.context;
    context.remaining = entry.deadline - state_.now;
    context.is_suspect = suspected.has_value() || entry.lost_attempts > 0;
    entry.allocated_tokens = state_.ledger.allocate(entry.account);
    context.retry_tokens = entry.allocated_tokens;
    if (chosen->instance == state_.settings.self) {
        start_local_(entry.attempt, entry.request, context);
        return;
    }
    state_.pending_actions.emplace_back(
        start_attempt{entry.attempt, peer_destination{chosen->instance, chosen->peer},
                      entry.request, context, context.remaining, entry.max_bytes});
}

void outbound_calls::attempt_answered(attempt_id attempt, const call_completion& completion) {
    const auto found = by_attempt_.find(attempt);
    if (found != by_attempt_.end()) {
        attempt_ended(found->second, completion, result_of(completion));
    }
}

void outbound_calls::attempt_failed(attempt_id attempt, attempt_failure failure) {
    const auto found = by_attempt_.find(attempt);
    if (found == by_attempt_.end()) {
        return;
    }
    answer_info info = make_refusal(refusal::connection_lost, 0, state_.settings.incarnation);
    if (failure == attempt_failure::not_sent) {
        info.reason = refusal::target_down;
        info.unused_tokens = calls_.at(found->second).allocated_tokens;
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

void outbound_calls::attempt_ended(call_id call, const call_completion& completion,
                                   attempt_result result) {
    auto& entry = calls_.at(call);
    by_attempt_.erase(entry.attempt);
    entry.attempt = {};
    // A peer can't return more tokens than were allocated to it.
    state_.ledger.refund(entry.account,
                         std::min(completion.info.unused_tokens, entry.allocated_tokens));
    entry.allocated_tokens = 0;
    if (completion.answer && completion.answer->status < first_server_error) {
        state_.budget.succeeded(state_.now, entry.request->service, entry.spent_budget);
    }
    state_.request_router.finished(state_.now, entry.instance, result, completion.info.load);
    if (result == attempt_result::refused_leaving) {
        state_.record_leaving(entry.instance, completion.info.incarnation);
    }
    report_to_quarantine(entry, completion.info);
    entry.last_completion = completion;
    entry.may_have_run = entry.may_have_run || completion.info.result == outcome::unknown;
    entry.spent_budget = false;
    const auto retry_at = state_.now + retry_delay(entry);
    if (retry_at >= entry.deadline || !acquire_retry(entry, completion.info)) {
        finish(call, completion);
        return;
    }
    entry.retry_at = retry_at;
    timers_.emplace(retry_at, call);
}

bool outbound_calls::acquire_retry(outbound_call& call, const answer_info& info) {
    const bool may_run_again =
        info.result == outcome::not_run || (info.result == outcome::unknown && !call.context.once);
    if (!state_.settings.node_retries_enabled || !may_run_again ||
        !is_retryable_elsewhere(info.reason) || call.lost_attempts >= max_lost_attempts ||
        !state_.ledger.spend(call.account)) {
        return false;
    }
    if (caused_no_load(info.reason)) {
        return true;
    }
    if (state_.budget.spend(state_.now, call.request->service)) {
        call.spent_budget = true;
        return true;
    }
    state_.ledger.refund(call.account, 1);
    return false;
}

void outbound_calls::report_to_quarantine(outbound_call& entry, const answer_info& info) {
    const bool was_lost =
        info.result == outcome::unknown && info.reason == refusal::connection_lost;
    if (was_lost) {
        ++entry.lost_attempts;
    }
    const bool is_relevant =
        was_lost || (info.result == outcome::completed && !state_.request_quarantine.is_idle());
    if (!is_relevant) {
        return;
    }
    const auto request = fingerprint_of(entry.context.kind, *entry.request);
    if (was_lost) {
        state_.request_quarantine.attempt_lost(state_.now, request);
    } else {
        state_.request_quarantine.attempt_completed(state_.now, request);
    }
}

std::optional<suspicion> outbound_calls::suspicion_of(const outbound_call& entry) const {
    if (state_.request_quarantine.is_idle()) {
        return std::nullopt;
    }
    return state_.request_quarantine.state(state_.now,
                                           fingerprint_of(entry.context.kind, *entry.request));
}

duration outbound_calls::retry_delay(const outbound_call& call) {
    const auto doubled = first_retry_backoff * (1U << std::min(call.retries, 10U));
    const auto longest = std::min(doubled, max_retry_backoff);
    return duration(static_cast<duration::rep>(
        state_.random.below(static_cast<std::uint64_t>(longest.count()))));
}

void outbound_calls::finish(call_id call, call_completion completion) {
    const auto found = calls_.find(call);
    const auto entry = std::move(found->second);
    calls_.erase(found);
    if (entry.may_have_run && completion.info.result == outcome::not_run) {
        completion.info.result = outcome::unknown;
    }
    completion.info.unused_tokens = 0;
    update_ledger(call, entry, result_for_application(completion));
    if (entry.is_edge) {
        record_call_result(state_.metrics.edge[entry.context.kind], completion.info,
                           completion.answer ? completion.answer->status : 0,
                           state_.now - entry.arrived);
    }
    for (const auto waiting : reads_.end(entry.account, entry.fingerprint, call)) {
        report_result_(waiting, completion);
    }
}

void outbound_calls::update_ledger(call_id call, const outbound_call& entry, call_result result) {
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
        stop_attempt(entry, attempt_result::cancelled);
    }
    update_ledger(call, entry, call_result::failed);
    reads_.end(entry.account, entry.fingerprint, call);
    calls_.erase(found);
}

void outbound_calls::advance() {
    while (!timers_.empty() && timers_.begin()->first <= state_.now) {
        const auto call = timers_.begin()->second;
        timers_.erase(timers_.begin());
        const auto found = calls_.find(call);
        if (found == calls_.end()) {
            continue;
        }
        if (found->second.deadline <= state_.now) {
            // While input of a pause is being read, the deadline passed because this node paused,
            // so the timeout does not count against the health of the instance.
            const auto result = state_.pause.is_catching_up(state_.now) ? attempt_result::cancelled
                                                                        : attempt_result::timed_out;
            abort_call(call, refusal::deadline, result);
        } else if (found->second.retry_at && *found->second.retry_at <= state_.now) {
            start_next_attempt(call);
        }
    }
}

void outbound_calls::abort_call(call_id call, refusal reason, attempt_result result) {
    auto& entry = calls_.at(call);
    auto info = make_refusal(reason, 0, state_.settings.incarnation);
    if (entry.attempt.value != 0) {
        info.result = outcome::unknown;
        stop_attempt(entry, result);
    }
    finish(call, {nullptr, info});
}

void outbound_calls::stop_attempt(const outbound_call& entry, attempt_result result) {
    by_attempt_.erase(entry.attempt);
    state_.request_router.finished(state_.now, entry.instance, result, {});
    if (entry.instance == state_.settings.self) {
        cancel_local_(entry.attempt);
    } else {
        state_.pending_actions.emplace_back(cancel_attempt{entry.attempt});
    }
}

void outbound_calls::cancel_calls_of(call_id parent) {
    std::vector<call_id> calls;
    for (auto at = by_parent_.lower_bound({parent, call_id{}});
         at != by_parent_.end() && at->first == parent; ++at) {
        calls.push_back(at->second);
    }
    for (const auto call : calls) {
        abort_call(call, refusal::cancelled, attempt_result::cancelled);
    }
}

std::optional<time_point> outbound_calls::next_wake() const {
    return timers_.empty() ? std::nullopt : std::optional(timers_.begin()->first);
}

} // namespace trefoil
