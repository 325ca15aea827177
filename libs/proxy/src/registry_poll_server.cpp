#include "registry_poll_server.hpp"

#include <algorithm>

#include <trefoil/http1/header_rules.hpp>

#include "local_response.hpp"
#include "shared_body_answer.hpp"

namespace trefoil {
namespace {

/// A poll that doesn't name its era counts as one of the replica's era.
registry_position position_of(const registry_poll& poll, const registry_replica& replica) {
    return {poll.era == 0 ? replica.position().era : poll.era, poll.after_revision};
}

} // namespace

void registry_poll_server::serve(time_point now,
                                 const std::shared_ptr<http1::served_request>& request,
                                 const replica_state& state) {
    auto poll = decode_poll(find_header(request->head().headers, poll_field));
    if (!poll || is_closed_) {
        request->respond(local_response(poll ? 503 : 400), {});
        return;
    }
    poll->era = decode_era(find_header(request->head().headers, poll_era_field));
    const bool has_changes =
        state.replica != nullptr && state.replica->position() > position_of(*poll, *state.replica);
    const bool must_tell_now =
        poll->is_urgent && (state.replica != nullptr || state.is_registry_lost);
    if (has_changes || must_tell_now) {
        answer(now, {*poll, now, request}, state);
        return;
    }
    const auto added = waiting_.insert(waiting_.end(), {*poll, now, request});
    request->set_handlers({{}, [this, added] { waiting_.erase(added); }, {}});
}

void registry_poll_server::answer_all(time_point now, const replica_state& state) {
    if (state.replica == nullptr && !state.is_registry_lost) {
        return;
    }
    for (const auto& poll : std::exchange(waiting_, {})) {
        poll.request->set_handlers({});
        answer(now, poll, state);
    }
}

void registry_poll_server::answer(time_point now, const waiting_poll& poll,
                                  const replica_state& state) {
    registry_poll_answer made;
    made.age = state.age;
    made.held = now - poll.arrived;
    made.is_registry_lost = state.is_registry_lost;
    made.since_failure = state.since_failure;
    if (state.replica != nullptr) {
        const auto after = position_of(poll.poll, *state.replica);
        const bool is_cached =
            cached_after_ == after && cached_difference_.position() == state.replica->position();
        if (!is_cached) {
            cached_difference_ = state.replica->changes_since(after);
            cached_records_ = std::make_shared<const std::string>(
                encode_records(std::exchange(cached_difference_.records, {})));
            cached_after_ = after;
        }
        made.difference = cached_difference_;
    }
    auto head = local_response(200);
    head.headers.push_back({std::string(poll_field), encode_poll_answer(made)});
    head.headers.push_back({std::string(poll_era_field), encode_era(made.difference.era)});
    if (made.since_failure) {
        head.headers.push_back(
            {std::string(poll_failure_field), encode_since_failure(*made.since_failure)});
    }
    if (state.replica == nullptr || cached_records_->empty()) {
        poll.request->respond(std::move(head), {});
    } else {
        answer_with_shared_body(poll.request, std::move(head), cached_records_);
    }
}

void registry_poll_server::close() {
    is_closed_ = true;
    for (const auto& poll : std::exchange(waiting_, {})) {
        poll.request->set_handlers({});
        poll.request->respond(local_response(503), {});
    }
}

} // namespace trefoil
