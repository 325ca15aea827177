// Calls that are sent to an instance of some service: first legs of callers and calls that the own
// target makes.
#pragma once

#include <functional>
#include <set>
#include <unordered_map>

#include "app_parent.hpp"
#include "inbound_calls.hpp"
#include "read_joins.hpp"

namespace trefoil {

/// Routes calls, makes attempts and retries, and reports how they ended.
class outbound_calls {
public:
    /// Hands an attempt to the own target's side of this node.
    using local_start = std::function<void(attempt_id, request_ptr, call_context)>;
    using local_cancel = std::function<void(attempt_id)>;
    /// Tells how a call ended to whoever sent it.
    using end_sink = std::function<void(call_id, const call_end&)>;

    outbound_calls(core_state& state, local_start start, local_cancel cancel, end_sink sink)
        : state_(state), start_local_(std::move(start)), cancel_local_(std::move(cancel)),
          sink_(std::move(sink)) {}

    /// A caller's request: the table gives its context. With `once` it must not be repeated, even
    /// if the table in force allows it.
    void arrive_from_caller(call_id call, request_ptr request, bool once);
    /// A call of the own target.
    void arrive_from_app(call_id call, request_ptr request, const app_parent& parent);
    void abandon(call_id sender);
    /// Ends all calls of a parent whose own end nobody waits for any more.
    void withdraw_calls_of(call_id parent);
    bool has(call_id call) const { return calls_.contains(call); }
    void attempt_answered(attempt_id attempt, const call_end& end);
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
        /// The account in the ledger that retries are paid from: the call in flight at the own
        /// target that this one belongs to, or this call itself for a caller's; 0 without one.
        call_id account;
        bool is_edge = false;
        /// Hash of the request; only for calls of a known parent.
        std::uint64_t fingerprint = 0;
        std::uint64_t max_bytes = 0;
        /// Tokens that the open attempt was given.
        std::uint32_t lent = 0;
        attempt_id attempt;
        instance_id instance;
        std::vector<instance_id> tried;
        std::uint32_t retries = 0;
        /// True if the attempt to come or in flight was paid for from the service's budget.
        bool spent_budget = false;
        /// True once an attempt ended without saying that it did not run.
        bool may_have_run = false;
        /// Attempts that were lost with their connection.
        std::uint32_t lost_attempts = 0;
        std::optional<time_point> retry_at;
        /// How the last attempt ended.
        std::optional<call_end> last_end;
    };

    void arrive_from_parent(call_id call, request_ptr request, const known_parent& parent);
    bool join_equal_read(call_id call, const http_request& request, const known_parent& parent,
                         std::uint64_t fingerprint);
    /// Pays for a call that repeats one of the application's; none if it may be sent.
    std::optional<answer_info> refusal_of_repetition(outbound_call& call,
                                                     call_repetition repetition);
    void refuse(call_id call, refusal reason);
    void begin(call_id call, outbound_call entry);
    /// True if the first leg would be refused for its level at or below the service.
    bool is_shed_below(const outbound_call& call) const;
    void try_next(call_id call);
    void attempt_ended(call_id call, const call_end& end, attempt_result result);
    /// Takes what a retry costs; false if it may not be made.
    bool pay_for_retry(outbound_call& call, const answer_info& info);
    /// The random wait before the next retry.
    duration retry_wait(const outbound_call& call);
    /// Tells the quarantine how an attempt ended.
    void note_for_quarantine(outbound_call& entry, const answer_info& info);
    std::optional<suspicion> suspicion_of(const outbound_call& entry) const;
    void finish(call_id call, call_end end);
    /// Tells the ledger how the call ended.
    void settle(call_id call, const outbound_call& entry, call_result result);
    /// Ends a call from here, its attempt in flight included.
    void give_up(call_id call, refusal reason, attempt_result result);
    void stop_attempt(const outbound_call& entry, attempt_result result);

    core_state& state_;
    local_start start_local_;
    local_cancel cancel_local_;
    end_sink sink_;
    std::unordered_map<call_id, outbound_call> calls_;
    std::unordered_map<attempt_id, call_id> by_attempt_;
    std::multimap<time_point, call_id> wakes_;
    read_joins reads_;
    /// Parent and call, for calls of the own target.
    std::set<std::pair<call_id, call_id>> by_parent_;
};

} // namespace trefoil
