// Requests that callers may send again: those that must run at most once, and those with a key of
// the caller's own.
#pragma once

#include <functional>
#include <string>
#include <unordered_map>
#include <vector>

#include <trefoil/once/kept_runs.hpp>
#include <trefoil/once/key_mint.hpp>

#include "inbound_calls.hpp"

namespace trefoil {

/// Gives out idempotency keys, passes requests with a key to the node that owns it, and runs those
/// of its own at most once. A request that this node has begun is never begun again: sent again, it
/// joins the first or gets its kept answer, and when that is forgotten its outcome is unknown.
class once_calls {
public:
    /// Begins a whole request; its end is told to run_ended.
    using run_start = std::function<void(call_id, request_ptr, bool once)>;

    once_calls(core_state& state, run_start start);

    /// True if the request was taken over; otherwise it is an ordinary one.
    bool arrive_from_caller(call_id call, const request_ptr& request);
    /// A request with a key, passed on by the node that its caller sent it to.
    void arrive_from_peer(call_id call, const request_ptr& request);
    /// A request that was begun here has ended.
    void run_ended(call_id run, const call_end& end);
    /// The caller is gone. What it has begun goes on.
    void abandon(call_id call);
    /// True for an attempt to pass a request to a key's owner.
    bool owns(attempt_id attempt) const { return forwards_.contains(attempt); }
    void owner_answered(attempt_id attempt, const call_end& end);
    void owner_failed(attempt_id attempt);
    /// Forgets what is kept for too long.
    void advance();
    /// Callers that wait here.
    std::size_t size() const { return waiting_.size(); }

    /// True for a call that run_start was given.
    static bool is_run(call_id call);

private:
    /// The number of a key of this node, or the digest of a request with its caller's own key.
    struct run_key {
        std::uint64_t number = 0;
        std::string digest;
    };

    struct running {
        run_key key;
        std::vector<call_id> waiters;
    };

    /// Where an open call of a caller or a peer waits.
    struct waiting_call {
        call_id run;
        attempt_id forward;
    };

    void give_key(call_id call, const http_request& request);
    void serve_owned(call_id call, const request_ptr& request, const idempotency_key& key);
    void forward(call_id call, const request_ptr& request, const idempotency_key& key);
    bool join_or_start(call_id call, const request_ptr& request);
    void start(call_id call, const request_ptr& request, run_key key, bool once);
    void join(call_id call, call_id run);
    void refuse(call_id call, outcome result, refusal reason);
    void keep(const run_key& key, const call_end& end);
    const member* member_at(const endpoint& peer) const;

    core_state& state_;
    run_start start_;
    key_mint mint_;
    /// Requests under keys of this node, by number.
    kept_runs<std::uint64_t> owned_;
    /// Requests under keys of their callers, by digest.
    kept_runs<std::string> joined_;
    std::unordered_map<call_id, running> runs_;
    std::unordered_map<std::uint64_t, call_id> run_by_number_;
    std::unordered_map<std::string, call_id> run_by_digest_;
    std::unordered_map<call_id, waiting_call> waiting_;
    std::unordered_map<attempt_id, call_id> forwards_;
    /// Keys up to this number that are not in owned_ may have been used and forgotten.
    std::uint64_t forgotten_up_to_ = 0;
    std::uint64_t last_run_ = 0;
};

} // namespace trefoil
