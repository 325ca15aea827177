// Calls that are sent to an instance of some service: whole requests of callers and calls that the
// local target makes.
#pragma once

#include <functional>
#include <set>
#include <unordered_map>

#include "app_parent.hpp"
#include "inbound_calls.hpp"
#include "read_joins.hpp"

namespace trefoil {

/// Routes outbound calls, makes their attempts and retries, and reports their results.
class outbound_calls {
public:
    /// Starts an attempt at the local target.
    using local_start = std::function<void(attempt_id, request_ptr, call_context)>;
    using local_cancel = std::function<void(attempt_id)>;
    /// Receives the result of each call.
    using result_handler = std::function<void(call_id, const call_completion&)>;

    outbound_calls(core_state& state, local_start start, local_cancel cancel,
                   result_handler handler)
        : state_(state), start_local_(std::move(start)), cancel_local_(std::move(cancel)),
          report_result_(std::move(handler)) {}

    /// Starts a request of a caller, whose context is taken from the table. With `once` it must not
    /// be retried once it may have run, even if the table in force allows it.
    void arrive_from_caller(call_id call, request_ptr request, bool once);
    /// Starts a call of the local target.
    void arrive_from_app(call_id call, request_ptr request, const app_parent& parent);
    /// Handles the loss of the sender. The call is cancelled unless further senders of an equal
    /// read wait for it.
    void abandon(call_id sender);
    /// Cancels all calls of a parent whose result is no longer needed.
    void cancel_calls_of(call_id parent);
    bool has(call_id call) const { return calls_.contains(call); }
    void attempt_answered(attempt_id attempt, const call_completion& completion);
    void attempt_failed(attempt_id attempt, attempt_failure failure);
    void advance();
    std::optional<time_point> next_wake() const;
    std::size_t size() const { return calls_.size(); }
    std::size_t attempts() const { return by_attempt_.size(); }

private:
    struct outbound_call {
        request_ptr request;
        call_context context;
        time_point arrived;
        time_point deadline;
        /// The ledger account that pays for retries: the parent call at the local target, or this
        /// call itself if it is a caller's request; 0 if there is no account.
        call_id account;
        bool is_edge = false;
        /// Hash of the request; set only for calls with a known parent.
        std::uint64_t fingerprint = 0;
        std::uint64_t max_bytes = 0;
        /// Retry tokens allocated to the attempt in flight.
        std::uint32_t allocated_tokens = 0;
        attempt_id attempt;
        instance_id instance;
        std::vector<instance_id> tried;
        std::uint32_t retries = 0;
        /// True if the next attempt or the one in flight is charged to the service's retry budget.
        bool spent_budget = false;
        /// True once an attempt ended with the outcome unknown.
        bool may_have_run = false;
        /// Attempts whose connection was lost.
        std::uint32_t lost_attempts = 0;
        std::optional<time_point> retry_at;
        /// Result of the last attempt.
        std::optional<call_completion> last_completion;
    };

    void arrive_from_parent(call_id call, request_ptr request, const known_parent& parent);
    bool join_equal_read(call_id call, const http_request& request, const known_parent& parent,
                         std::uint64_t fingerprint);
    /// Charges a call that is a retry by the application. Returns the refusal if the call must not
    /// be sent, or nothing if it may.
    std::optional<answer_info> charge_application_retry(outbound_call& call,
                                                        call_repetition repetition);
    void refuse(call_id call, refusal reason);
    void begin(call_id call, outbound_call entry);
    /// True if the service of the call or one downstream of it is expected to refuse the call,
    /// because its position is at or above the threshold recorded for them.
    bool is_shed_downstream(const outbound_call& call) const;
    void start_next_attempt(call_id call);
    void attempt_ended(call_id call, const call_completion& completion, attempt_result result);
    /// Takes a retry token and, unless the refusal cost the service nothing, a unit of the
    /// service's retry budget. Returns false if no retry may be made.
    bool acquire_retry(outbound_call& call, const answer_info& info);
    /// Returns the random delay before the next retry.
    duration retry_delay(const outbound_call& call);
    /// Reports the result of an attempt to the quarantine.
    void report_to_quarantine(outbound_call& entry, const answer_info& info);
    std::optional<suspicion> suspicion_of(const outbound_call& entry) const;
    void finish(call_id call, call_completion completion);
    /// Reports the result of the call to the ledger.
    void update_ledger(call_id call, const outbound_call& entry, call_result result);
    /// Ends a call and cancels its attempt in flight, if any.
    void abort_call(call_id call, refusal reason, attempt_result result);
    void stop_attempt(const outbound_call& entry, attempt_result result);

    core_state& state_;
    local_start start_local_;
    local_cancel cancel_local_;
    result_handler report_result_;
    std::unordered_map<call_id, outbound_call> calls_;
    std::unordered_map<attempt_id, call_id> by_attempt_;
    std::multimap<time_point, call_id> timers_;
    read_joins reads_;
    /// Pairs of parent and call, for calls of the local target.
    std::set<std::pair<call_id, call_id>> by_parent_;
};

} // namespace trefoil
