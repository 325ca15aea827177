// Calls to be run by the local target.
#pragma once

#include <functional>
#include <unordered_map>
#include <variant>

#include "core_state.hpp"

namespace trefoil {

/// The result of a call is sent back through the listener on which it was received.
struct reply_to_listener {
    call_id call;
};

/// The result of a call is reported to an attempt of this node.
struct reply_to_attempt {
    attempt_id attempt;
};

using reply_address = std::variant<reply_to_listener, reply_to_attempt>;

/// Result of a call. `answer` is null if there is no complete answer.
struct call_completion {
    answer_ptr answer;
    answer_info info;
};

/// Passes calls through admission to the local target. Each call is a state machine with the states
/// queued, in flight and ended. Arrival, cancellation, deadline, dispatch and answer are all
/// handled here on one thread, so that `not_run` is reported only while nothing of the call has
/// been dispatched to the target.
class inbound_calls {
public:
    /// Receives the results of calls whose reply address is an attempt of this node.
    using local_result_handler = std::function<void(attempt_id, const call_completion&)>;

    inbound_calls(core_state& state, local_result_handler handler)
        : state_(state), report_result_(std::move(handler)) {}

    void arrive(call_id call, reply_address reply, request_ptr request, call_context context);
    /// Handles the loss of the sender: drops a queued call; cancels one in flight at the target.
    void abandon(call_id call);
    /// True if the attempt is one at the local target.
    bool owns(attempt_id attempt) const { return by_attempt_.contains(attempt); }
    void target_answered(attempt_id attempt, const answer_ptr& answer, const answer_info& declared);
    void target_failed(attempt_id attempt, attempt_failure failure);
    /// Dispatches, refuses and times out the calls for which this is due.
    void advance();
    std::optional<time_point> next_wake() const;
    /// Returns the context of a call in flight at the target, or null if it is not in flight.
    const call_context* context_of(call_id call) const;
    /// Returns the deadline of a call; the call must not have ended.
    time_point deadline_of(call_id call) const;
    std::size_t size() const { return calls_.size(); }

private:
    struct inbound_call {
        reply_address reply;
        request_ptr request;
        call_context context;
        time_point arrived;
        time_point deadline;
        time_point dispatched_at;
        attempt_id attempt;
        std::uint64_t max_bytes = 0;
        std::uint32_t kind_limit = 0;

        bool is_in_flight() const { return attempt.value != 0; }
    };

    refusal refusal_on_arrival(const inbound_call& call, const table_row& row);
    /// Offers the call to admission unless the quarantine holds or refuses it.
    refusal offer_unless_quarantined(call_id call, const inbound_call& entry);
    refusal offer(call_id call, const inbound_call& entry);
    void apply_quarantine();
    void refuse_queued(refusal reason);
    void dispatch_to_target(call_id call);
    void complete_at_target(call_id call, const call_completion& completion,
                            service_status target_status);
    void log_suspect(const inbound_call& entry);
    void refuse(call_id call, refusal reason);
    void complete(call_id call, const call_completion& completion);
    void expire_deadlines();

    core_state& state_;
    local_result_handler report_result_;
    std::unordered_map<call_id, inbound_call> calls_;
    std::unordered_map<attempt_id, call_id> by_attempt_;
    std::multimap<time_point, call_id> deadlines_;
};

} // namespace trefoil
