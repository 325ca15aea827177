// Requests that callers may resend: those that must run at most once, and those with an idempotency
// key chosen by the caller.
#pragma once

#include <functional>
#include <string>
#include <unordered_map>
#include <vector>

#include <trefoil/once/idempotency_key_issuer.hpp>
#include <trefoil/once/idempotency_records.hpp>

#include "inbound_calls.hpp"

namespace trefoil {

/// Issues idempotency keys, forwards requests to the node that issued their key, and runs requests
/// under keys of this node at most once. A request that was started is never started again: a
/// resent request joins the run in flight or gets the stored answer. Once the stored answer has
/// been evicted, the outcome is unknown.
class once_calls {
public:
    /// Starts a whole request. Its result must be passed to run_ended().
    using start_handler = std::function<void(call_id, request_ptr, bool once)>;

    once_calls(core_state& state, start_handler start);

    /// Returns true if the request is handled here; otherwise the caller of this function handles
    /// it as one without a key.
    bool arrive_from_caller(call_id call, const request_ptr& request);
    /// Handles a request with a key that was forwarded by the node to which the caller sent it.
    void arrive_from_peer(call_id call, const request_ptr& request);
    /// Records the result of a request that was started here and answers all its waiting callers.
    void run_ended(call_id run, const call_completion& completion);
    /// Handles the loss of the caller. A run that its request started continues.
    void abandon(call_id call);
    /// True for an attempt that forwards a request to the owner of its key.
    bool owns(attempt_id attempt) const { return forwards_.contains(attempt); }
    void owner_answered(attempt_id attempt, const call_completion& completion);
    void owner_failed(attempt_id attempt);
    /// Evicts stored results that have expired or exceed the limits.
    void advance();
    /// Number of calls that wait for a run or for the owner of their key.
    std::size_t size() const { return waiting_.size(); }

    /// True for the id of a call that was passed to the start handler.
    static bool is_run(call_id call);

private:
    /// Identifies a run: the number of a key that this node issued, or the digest of a request with
    /// a key chosen by its caller.
    struct run_key {
        std::uint64_t number = 0;
        std::string digest;
    };

    /// A run in flight and the calls that wait for its result.
    struct active_run {
        run_key key;
        std::vector<call_id> waiters;
    };

    /// What a call of a caller or a peer waits for: a run of this node, or a forwarding attempt.
    struct waiting_call {
        call_id run;
        attempt_id forward;
    };

    void issue_key(call_id call, const http_request& request);
    void serve_owned(call_id call, const request_ptr& request, const idempotency_key& key);
    void forward(call_id call, const request_ptr& request, const idempotency_key& key);
    /// Handles a request with a key chosen by its caller: joins the run in flight, returns the
    /// stored answer or starts a run. Returns false if the stored answer was dropped to free
    /// memory, or if a run would have to be started during a stop.
    bool join_or_start(call_id call, const request_ptr& request);
    void start(call_id call, const request_ptr& request, run_key key, bool once);
    void join(call_id call, call_id run);
    void refuse(call_id call, outcome result, refusal reason);
    void store_result(const run_key& key, const call_completion& completion);
    const member* member_at(const endpoint& peer) const;

    core_state& state_;
    start_handler start_;
    idempotency_key_issuer key_issuer_;
    /// Requests under keys that this node issued, by key number.
    idempotency_records<std::uint64_t> owned_;
    /// Requests under keys chosen by their callers, by digest.
    idempotency_records<std::string> coalesced_;
    std::unordered_map<call_id, active_run> runs_;
    std::unordered_map<std::uint64_t, call_id> run_by_number_;
    std::unordered_map<std::string, call_id> run_by_digest_;
    std::unordered_map<call_id, waiting_call> waiting_;
    std::unordered_map<attempt_id, call_id> forwards_;
    /// Highest evicted key number. Keys up to this number that have no record may have been used.
    std::uint64_t evicted_up_to_ = 0;
    std::uint64_t last_run_ = 0;
};

} // namespace trefoil
