#include "once_calls.hpp"

#include <algorithm>

namespace trefoil {
namespace {

/// Set in the ids of runs, which are above those of all other calls.
constexpr std::uint64_t run_bits = 3ULL << 62U;
constexpr idempotency_record_limits coalesced_run_limits{30s, 10'000, 8'000'000};
/// Additional wait, beyond the deadline of the request, for the answer of the key's owner.
constexpr duration owner_response_margin = 100ms;
constexpr int first_server_error = 500;

} // namespace

once_calls::once_calls(core_state& state, start_handler start)
    : state_(state), start_(std::move(start)),
      key_issuer_(state.settings.key_secret, state.settings.peer_address,
                  state.settings.incarnation),
      owned_(state.settings.idempotency_limits), coalesced_(coalesced_run_limits) {}

bool once_calls::is_run(call_id call) {
    return (call.value & run_bits) == run_bits;
}

bool once_calls::arrive_from_caller(call_id call, const request_ptr& request) {
    const auto key = parse_idempotency_key(request->idempotency_key);
    if (key && key->owner == state_.settings.peer_address) {
        serve_owned(call, request, *key);
        return true;
    }
    if (key) {
        forward(call, request, *key);
        return true;
    }
    if (!state_.table_in_force) {
        return false;
    }
    if (state_.table_in_force->match(request->service, request->method, request->path).once) {
        issue_key(call, *request);
        return true;
    }
    return !request->idempotency_key.empty() && join_or_start(call, request);
}

void once_calls::arrive_from_peer(call_id call, const request_ptr& request) {
    const auto key = parse_idempotency_key(request->idempotency_key);
    if (!key) {
        refuse(call, outcome::not_run, refusal::bad_request);
    } else {
        serve_owned(call, request, *key);
    }
}

void once_calls::issue_key(call_id call, const http_request& request) {
    if (state_.is_leaving()) {
        refuse(call, outcome::not_run, refusal::leaving);
        return;
    }
    const auto key = key_issuer_.issue(state_.now, request);
    state_.pending_actions.emplace_back(send_response{
        call, nullptr, make_refusal(refusal::key_required, 0, state_.settings.incarnation),
        to_string(key)});
}

void once_calls::serve_owned(call_id call, const request_ptr& request, const idempotency_key& key) {
    const bool is_own =
        key.owner == state_.settings.peer_address && key.incarnation == state_.settings.incarnation;
    if (!is_own) {
        refuse(call, outcome::unknown, refusal::key_owner_gone);
        return;
    }
    if (!key_issuer_.verify(key, *request)) {
        // The outcome is unknown, not `not_run`: the key may have been used with other credentials
        // of the same caller.
        refuse(call, outcome::unknown, refusal::key_invalid);
        return;
    }
    if (const auto running = run_by_number_.find(key.number); running != run_by_number_.end()) {
        join(call, running->second);
        return;
    }
    if (const auto* completion = owned_.result_of(key.number)) {
        state_.pending_actions.emplace_back(
            send_response{call, completion->answer, completion->info, {}});
        return;
    }
    // The result of a request is stored for as long as its key may be used. Therefore a more recent
    // key without a record was never used.
    const bool may_be_evicted =
        key.number <= evicted_up_to_ ||
        key.issued + state_.settings.idempotency_limits.lifetime <= state_.now;
    if (may_be_evicted) {
        refuse(call, outcome::unknown, refusal::key_owner_gone);
    } else if (state_.is_leaving()) {
        refuse(call, outcome::not_run, refusal::leaving);
    } else {
        start(call, request, {key.number, {}}, true);
    }
}

void once_calls::forward(call_id call, const request_ptr& request, const idempotency_key& key) {
    const auto* owner = member_at(key.owner);
    if (owner == nullptr || !state_.table_in_force) {
        refuse(call, outcome::unknown,
               owner == nullptr ? refusal::key_owner_gone : refusal::no_table);
        return;
    }
    const auto& row =
        state_.table_in_force->match(request->service, request->method, request->path);
    const auto attempt = state_.next_attempt();
    forwards_.emplace(attempt, call);
    waiting_.emplace(call, waiting_call{{}, attempt});
    state_.pending_actions.emplace_back(
        start_attempt{attempt, peer_destination{owner->instance, owner->peer}, request,
                      std::nullopt, row.deadline + owner_response_margin, row.max_bytes});
}

bool once_calls::join_or_start(call_id call, const request_ptr& request) {
    auto digest = request_digest(state_.settings.key_secret, request->idempotency_key, *request);
    if (const auto running = run_by_digest_.find(digest); running != run_by_digest_.end()) {
        join(call, running->second);
        return true;
    }
    const auto* completion = coalesced_.result_of(digest);
    if (completion == nullptr && state_.stop_was_requested) {
        return false;
    }
    if (completion == nullptr) {
        start(call, request, {0, std::move(digest)}, false);
        return true;
    }
    if (completion->answer) {
        state_.pending_actions.emplace_back(
            send_response{call, completion->answer, completion->info, {}});
        return true;
    }
    return false;
}

void once_calls::start(call_id call, const request_ptr& request, run_key key, bool once) {
    const call_id run{++last_run_ | run_bits};
    if (once) {
        owned_.begin(key.number);
        run_by_number_.emplace(key.number, run);
    } else {
        coalesced_.begin(key.digest);
        run_by_digest_.emplace(key.digest, run);
    }
    runs_.emplace(run, active_run{std::move(key), {}});
    join(call, run);
    start_(run, request, once);
}

void once_calls::join(call_id call, call_id run) {
    runs_.at(run).waiters.push_back(call);
    waiting_.emplace(call, waiting_call{run, {}});
}

void once_calls::run_ended(call_id run, const call_completion& completion) {
    const auto found = runs_.find(run);
    const auto ended = std::move(found->second);
    runs_.erase(found);
    store_result(ended.key, completion);
    for (const auto waiter : ended.waiters) {
        waiting_.erase(waiter);
        state_.pending_actions.emplace_back(
            send_response{waiter, completion.answer, completion.info, {}});
    }
}

void once_calls::store_result(const run_key& key, const call_completion& completion) {
    if (key.digest.empty()) {
        run_by_number_.erase(key.number);
        if (completion.info.result == outcome::not_run) {
            owned_.erase(key.number);
        } else {
            owned_.complete(state_.now, key.number, {completion.answer, completion.info});
        }
        return;
    }
    run_by_digest_.erase(key.digest);
    const bool is_final = completion.info.result == outcome::completed && completion.answer &&
                          completion.answer->status < first_server_error;
    if (is_final) {
        coalesced_.complete(state_.now, key.digest, {completion.answer, completion.info});
    } else {
        coalesced_.erase(key.digest);
    }
}

void once_calls::abandon(call_id call) {
    const auto found = waiting_.find(call);
    if (found == waiting_.end()) {
        return;
    }
    const auto waiting = found->second;
    waiting_.erase(found);
    if (waiting.forward.value != 0) {
        forwards_.erase(waiting.forward);
        state_.pending_actions.emplace_back(cancel_attempt{waiting.forward});
    } else {
        std::erase(runs_.at(waiting.run).waiters, call);
    }
}

void once_calls::owner_answered(attempt_id attempt, const call_completion& completion) {
    const auto call = forwards_.at(attempt);
    forwards_.erase(attempt);
    waiting_.erase(call);
    state_.pending_actions.emplace_back(
        send_response{call, completion.answer, completion.info, {}});
}

void once_calls::owner_failed(attempt_id attempt) {
    const auto call = forwards_.at(attempt);
    forwards_.erase(attempt);
    waiting_.erase(call);
    // The key may have been used before, so an unreachable owner does not prove that nothing ran.
    refuse(call, outcome::unknown, refusal::connection_lost);
}

void once_calls::advance() {
    for (const auto number : owned_.evict(state_.now)) {
        evicted_up_to_ = std::max(evicted_up_to_, number);
    }
    coalesced_.evict(state_.now);
}

void once_calls::refuse(call_id call, outcome result, refusal reason) {
    auto info = make_refusal(reason, 0, state_.settings.incarnation);
    info.result = result;
    state_.pending_actions.emplace_back(send_response{call, nullptr, info, {}});
}

const member* once_calls::member_at(const endpoint& peer) const {
    for (const auto& candidate : state_.members.all()) {
        if (candidate.peer.port == peer.port && candidate.peer == peer) {
            return &candidate;
        }
    }
    return nullptr;
}

} // namespace trefoil
