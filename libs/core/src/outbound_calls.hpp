// Calls that are sent to an instance of some service: first legs of callers and calls that the own
// target makes.
#pragma once

#include <functional>
#include <unordered_map>

#include "inbound_calls.hpp"

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
    /// A call of the own target; `parent` is the call that it belongs to, or null.
    void arrive_from_app(call_id call, request_ptr request, const call_context* parent,
                         time_point parent_deadline, call_id parent_call);
    void abandon(call_id call);
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
        /// The call in flight at the own target that this one belongs to; 0 for callers.
        call_id parent;
        bool is_edge = false;
        std::uint64_t max_bytes = 0;
        /// Tokens in hand: neither lent to an attempt nor spent.
        std::uint32_t tokens = 0;
        /// Tokens that the open attempt was given.
        std::uint32_t lent = 0;
        attempt_id attempt;
        instance_id instance;
        std::vector<instance_id> tried;
        /// True once an attempt ended without saying that it did not run.
        bool may_have_run = false;
        /// Attempts that were lost with their connection.
        std::uint32_t lost_attempts = 0;
        std::optional<time_point> retry_at;
        /// How the last attempt ended.
        std::optional<call_end> last_end;
    };

    void begin(call_id call, outbound_call entry);
    /// True if the first leg would be refused for its level at or below the service.
    bool is_shed_below(const outbound_call& call) const;
    void try_next(call_id call);
    void attempt_ended(call_id call, const call_end& end, attempt_result result);
    bool may_retry(const outbound_call& call, const answer_info& info) const;
    void schedule_retry(call_id call);
    /// Tells the quarantine how an attempt ended.
    void note_for_quarantine(outbound_call& entry, const answer_info& info);
    std::optional<suspicion> suspicion_of(const outbound_call& entry) const;
    void finish(call_id call, call_end end);
    void time_out(call_id call);

    core_state& state_;
    local_start start_local_;
    local_cancel cancel_local_;
    end_sink sink_;
    std::unordered_map<call_id, outbound_call> calls_;
    std::unordered_map<attempt_id, call_id> by_attempt_;
    std::multimap<time_point, call_id> wakes_;
};

} // namespace trefoil
