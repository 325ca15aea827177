// Retry tokens of the calls in flight at a target, and the calls that the target made for them.
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

/// Policy for the share of an account's tokens that one downstream call gets.
enum class token_share_policy : std::uint8_t {
    /// All tokens.
    all,
    /// All but one, which remains for a retry of the call itself.
    all_but_one,
    /// Half of them, rounded up.
    half,
    /// A quarter of them, rounded up.
    quarter,
    /// Three quarters of them, rounded up, if requests of this kind make fewer than 1.5 calls here
    /// on average. Otherwise the tokens divided by one more than the average number of calls,
    /// rounded down. The remaining tokens are available to all calls of the request.
    by_fan_out,
};

/// Relation of a call to earlier equal calls of the same parent.
enum class call_repetition : std::uint8_t {
    /// No equal call was made, or none is in flight and none has failed since one was answered.
    first,
    /// An equal call has failed, but no target ran any part of it: this is a retry.
    retry,
    /// As `retry`, but an equal call is in flight or may have been run.
    retry_of_possible_run,
};

/// Result of an outgoing call, as far as it matters for retries.
enum class call_result : std::uint8_t {
    /// The application received a complete answer that reports no failure.
    answered,
    /// No target ran any part of it.
    not_run,
    /// Any other result: a failure, no complete answer, or a call that the application abandoned.
    failed,
};

/// Hash of service, method, path and body. Calls with the same hash count as equal.
std::uint64_t call_fingerprint(const http_request& request);

/// Keeps an account for each call in flight at the target with the retry tokens that the call and
/// its downstream calls may still spend. Tokens are moved or lost but never created, so that the
/// sum over a call tree does not exceed the initial tokens of the whole request. Also records the
/// calls that the target made, so that retries by the application itself are recognized.
class retry_ledger {
public:
    explicit retry_ledger(token_share_policy policy) : policy_(policy) {}

    /// Opens the account of a call of this kind. Opening a second account for the same call is a
    /// programming error.
    void open(call_id parent, std::uint32_t tokens, const std::string& kind = {});

    /// Moves tokens from the parent's account to a downstream call and returns their number; 0 for
    /// an unknown parent.
    std::uint32_t allocate(call_id parent);

    /// Returns unspent tokens to the parent's account. They are lost if the account is closed.
    void refund(call_id parent, std::uint32_t tokens);

    /// Takes one token for a retry. Returns false if there is none.
    bool spend(call_id parent);

    /// Closes the account and returns its remaining tokens; 0 for an unknown parent.
    std::uint32_t close(call_id parent);

    /// As close(), but keeps the calls made on record for up to 30 s: the target has answered but
    /// may continue to make calls, for which it has no retry tokens.
    std::uint32_t retire(time_point now, call_id parent);

    /// Records an outgoing call and returns its relation to earlier ones; `first` for an unknown
    /// parent.
    call_repetition begin_call(call_id parent, std::uint64_t fingerprint);

    /// Records the end of a call that was begun with begin_call().
    void end_call(call_id parent, std::uint64_t fingerprint, call_result result);

    /// True if the target made any call for the parent.
    bool has_calls(call_id parent) const;

    /// Removes accounts that were retired at least 30 s ago, and the oldest beyond 4096 of them.
    void expire(time_point now);

    bool is_open(call_id parent) const { return accounts_.contains(parent); }
    std::size_t size() const { return accounts_.size(); }

private:
    /// State of the equal calls of one parent.
    struct equal_calls {
        /// Number of these calls in flight.
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

    /// Number of tokens that the next downstream call gets.
    std::uint32_t share(const account& from) const;
    void update_fan_out(const account& ended);

    token_share_policy policy_;
    /// Moving average of the number of distinct calls that a request of a kind makes here. Requests
    /// without calls are not counted.
    std::unordered_map<std::string, double> fan_out_;
    std::unordered_map<call_id, account> accounts_;
    std::deque<retired_account> retired_;
};

} // namespace trefoil
