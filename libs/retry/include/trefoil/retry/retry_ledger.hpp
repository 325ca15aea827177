// Retry tokens of the calls that a target is working on, and the calls that it made for them.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>

#include <trefoil/base/ids.hpp>
#include <trefoil/base/time.hpp>
#include <trefoil/wire/http_message.hpp>

namespace trefoil {

/// How much of an account goes down with one call.
enum class lending : std::uint8_t {
    /// All tokens.
    all,
    /// All but one, which stays for a retry of the call itself.
    all_but_one,
    /// Half of them, rounded up.
    half,
    /// A quarter of them, rounded up.
    quarter,
    /// Most of them if requests of this kind usually make one call here, and the equal share of one
    /// call and a half if they make several: what stays is there for all of them.
    by_fan_out,
};

/// What a further call is, seen beside the earlier ones of the same parent.
enum class call_repetition : std::uint8_t {
    /// No equal call was made, or all equal ones were answered well.
    first,
    /// An equal call ended without a good answer, or has not ended: this is a retry.
    retry,
    /// As retry, and the equal call may have run.
    retry_of_possible_run,
};

/// How an outgoing call ended, as far as its repetition is concerned.
enum class call_result : std::uint8_t {
    /// The application got a complete answer that reports no failure.
    answered,
    /// No target ran any part of it.
    not_run,
    /// Anything else: a failure, no complete answer, or the application gave it up.
    failed,
};

/// The hash of what makes two calls equal: service, method, path and body.
std::uint64_t call_fingerprint(const http_request& request);

/// Keeps, for each call in flight at the target, the retry tokens that it and the calls below it
/// may still spend. Tokens are only ever moved or lost, never made: the sum over a call tree
/// stays at or below what the whole request was born with. Keeps besides which calls the target
/// made, so that those that its own layers repeat are known as retries.
class retry_ledger {
public:
    explicit retry_ledger(lending policy) : policy_(policy) {}

    /// Starts the account of a call of this kind. A second open of the same call is a programmer's
    /// error.
    void open(call_id parent, std::uint32_t tokens, const std::string& kind = {});

    /// Moves tokens from the parent's account to a call below it. An unknown parent has none.
    std::uint32_t lend(call_id parent);

    /// Gives unspent tokens back. Those for an account that is closed are lost.
    void give_back(call_id parent, std::uint32_t tokens);

    /// Takes one token for a retry. False if there is none.
    bool spend(call_id parent);

    /// Ends the account and returns what is left in it; 0 for an unknown one.
    std::uint32_t close(call_id parent);

    /// As close, but remembers for a while which calls were made: the target has answered and may
    /// go on with work of its own, without any retries.
    std::uint32_t retire(time_point now, call_id parent);

    /// Notes an outgoing call and tells what it is. Unknown parents have no calls.
    call_repetition begin_call(call_id parent, std::uint64_t fingerprint);

    /// Notes the end of a call that was begun.
    void end_call(call_id parent, std::uint64_t fingerprint, call_result result);

    /// True if the target made any call for the parent.
    bool has_calls(call_id parent) const;

    /// Forgets accounts that were retired too long ago or are too many.
    void expire(time_point now);

    bool is_open(call_id parent) const { return accounts_.contains(parent); }
    std::size_t size() const { return accounts_.size(); }

private:
    /// The equal calls of one parent.
    struct equal_calls {
        std::uint32_t open = 0;
        bool has_failed = false;
        bool may_have_run = false;
    };

    struct account {
        std::uint32_t tokens = 0;
        std::string kind;
        std::unordered_map<std::uint64_t, equal_calls> calls;
    };

    struct retired_account {
        time_point at;
        call_id parent;
    };

    std::uint32_t share(const account& from) const;
    void note_fan_out(const account& ended);

    lending policy_;
    /// Running mean of the calls that a request of a kind makes here.
    std::unordered_map<std::string, double> fan_out_;
    std::unordered_map<call_id, account> accounts_;
    std::deque<retired_account> retired_;
};

} // namespace trefoil
