// Calls that the own target is asked to run.
#pragma once

#include <functional>
#include <unordered_map>
#include <variant>

#include "core_state.hpp"

namespace trefoil {

/// The end of a call goes to the listener that it came by.
struct reply_to_listener {
    call_id call;
};

/// The end of a call goes to an attempt of this same node.
struct reply_to_attempt {
    attempt_id attempt;
};

using reply_address = std::variant<reply_to_listener, reply_to_attempt>;

/// How a call ended.
struct call_end {
    answer_ptr answer;
    answer_info info;
};

/// Runs calls through admission and the target. One state machine a call: waiting, in flight,
/// ended. Arrival, cancel, deadline, hand-off and answer meet here, on one thread, so that
/// `not_run` is said only while the target was handed nothing.
class inbound_calls {
public:
    /// Receives the ends of calls whose reply address is an attempt of this node.
    using local_sink = std::function<void(attempt_id, const call_end&)>;

    inbound_calls(core_state& state, local_sink sink) : state_(state), sink_(std::move(sink)) {}

    void arrive(call_id call, reply_address reply, request_ptr request, call_context context);
    /// The sender is gone: a waiting call is dropped, one in flight is cancelled at the target.
    void abandon(call_id call);
    /// True if the attempt is one at the own target.
    bool owns(attempt_id attempt) const { return by_attempt_.contains(attempt); }
    void target_answered(attempt_id attempt, const answer_ptr& answer, const answer_info& declared);
    void target_failed(attempt_id attempt, attempt_failure failure);
    /// Hands on, refuses and times out what is due.
    void advance();
    std::optional<time_point> next_wake() const;
    /// The context of a call in flight at the target; null if there is none.
    const call_context* context_of(call_id call) const;
    /// Time at which the call in flight at the target must be finished.
    time_point deadline_of(call_id call) const;
    std::size_t size() const { return calls_.size(); }

private:
    struct inbound_call {
        reply_address reply;
        request_ptr request;
        call_context context;
        time_point arrived;
        time_point deadline;
        time_point handed_at;
        attempt_id attempt;
        std::uint64_t max_bytes = 0;
        std::uint32_t kind_limit = 0;

        bool is_in_flight() const { return attempt.value != 0; }
    };

    refusal refusal_on_arrival(const inbound_call& call, const table_row& row);
    /// Passes the call to admission unless the quarantine holds it back.
    refusal enter(call_id call, const inbound_call& entry);
    refusal offer(call_id call, const inbound_call& entry);
    void apply_quarantine();
    void refuse_waiting(refusal reason);
    void hand_to_target(call_id call);
    void finish_at_target(call_id call, const call_end& end, service_end seen);
    void log_loss(const inbound_call& entry);
    void refuse(call_id call, refusal reason);
    void end(call_id call, const call_end& end);
    void time_out_in_flight();

    core_state& state_;
    local_sink sink_;
    std::unordered_map<call_id, inbound_call> calls_;
    std::unordered_map<attempt_id, call_id> by_attempt_;
    std::multimap<time_point, call_id> deadlines_;
};

} // namespace trefoil
