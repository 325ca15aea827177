#include <trefoil/retry/retry_ledger.hpp>

#include <cassert>

#include <trefoil/base/hash.hpp>

namespace trefoil {
namespace {

/// Lifetime of a retired account.
constexpr duration retired_lifetime = 30s;
constexpr std::size_t max_retired = 4096;

/// The newest request has the weight 1 / `fan_out_smoothing` in the moving average of its kind.
constexpr double fan_out_smoothing = 8;
/// Average number of calls from which requests of a kind count as making multiple calls.
constexpr double multiple_calls_threshold = 1.5;

} // namespace

std::uint32_t retry_ledger::share(const account& from) const {
    const auto tokens = from.tokens;
    switch (policy_) {
    case token_share_policy::all:
        return tokens;
    case token_share_policy::all_but_one:
        return tokens > 0 ? tokens - 1 : 0;
    case token_share_policy::half:
        return (tokens + 1) / 2;
    case token_share_policy::quarter:
        return (tokens + 3) / 4;
    case token_share_policy::by_fan_out:
        break;
    }
    const auto found = fan_out_.find(from.kind);
    const double calls = found == fan_out_.end() ? 1 : found->second;
    if (calls < multiple_calls_threshold) {
        return tokens - tokens / 4;
    }
    return static_cast<std::uint32_t>(tokens / (calls + 1));
}

void retry_ledger::update_fan_out(const account& ended) {
    if (ended.calls.empty() || ended.kind.empty()) {
        return;
    }
    const auto calls = static_cast<double>(ended.calls.size());
    auto& mean = fan_out_.try_emplace(ended.kind, calls).first->second;
    mean += (calls - mean) / fan_out_smoothing;
}

std::uint64_t call_fingerprint(const http_request& request) {
    auto hash = stable_hash(request.service.str());
    hash = stable_hash(request.method, hash);
    hash = stable_hash(request.path, hash);
    return stable_hash(request.body, hash);
}

void retry_ledger::open(call_id parent, std::uint32_t tokens, const std::string& kind) {
    [[maybe_unused]] const bool inserted =
        accounts_.try_emplace(parent, account{tokens, kind, {}}).second;
    assert(inserted);
}

std::uint32_t retry_ledger::allocate(call_id parent) {
    const auto found = accounts_.find(parent);
    if (found == accounts_.end()) {
        return 0;
    }
    const std::uint32_t lent = share(found->second);
    found->second.tokens -= lent;
    return lent;
}

void retry_ledger::refund(call_id parent, std::uint32_t tokens) {
    const auto found = accounts_.find(parent);
    if (found != accounts_.end()) {
        found->second.tokens += tokens;
    }
}

bool retry_ledger::spend(call_id parent) {
    const auto found = accounts_.find(parent);
    if (found == accounts_.end() || found->second.tokens == 0) {
        return false;
    }
    --found->second.tokens;
    return true;
}

std::uint32_t retry_ledger::close(call_id parent) {
    const auto found = accounts_.find(parent);
    if (found == accounts_.end()) {
        return 0;
    }
    const std::uint32_t left = found->second.tokens;
    accounts_.erase(found);
    return left;
}

std::uint32_t retry_ledger::retire(time_point now, call_id parent) {
    const auto found = accounts_.find(parent);
    if (found == accounts_.end()) {
        return 0;
    }
    const std::uint32_t left = found->second.tokens;
    found->second.tokens = 0;
    update_fan_out(found->second);
    retired_.push_back({now, parent});
    return left;
}

call_repetition retry_ledger::begin_call(call_id parent, std::uint64_t fingerprint) {
    const auto found = accounts_.find(parent);
    if (found == accounts_.end()) {
        return call_repetition::first;
    }
    auto& equal = found->second.calls[fingerprint];
    const bool is_open = equal.open > 0;
    ++equal.open;
    if (is_open || equal.may_have_run) {
        return call_repetition::retry_of_possible_run;
    }
    return equal.has_failed ? call_repetition::retry : call_repetition::first;
}

void retry_ledger::end_call(call_id parent, std::uint64_t fingerprint, call_result result) {
    const auto found = accounts_.find(parent);
    if (found == accounts_.end()) {
        return;
    }
    auto& equal = found->second.calls[fingerprint];
    equal.open -= equal.open > 0 ? 1 : 0;
    if (result == call_result::answered) {
        equal.has_failed = false;
        equal.may_have_run = false;
        return;
    }
    equal.has_failed = true;
    equal.may_have_run = equal.may_have_run || result == call_result::failed;
}

bool retry_ledger::has_calls(call_id parent) const {
    const auto found = accounts_.find(parent);
    return found != accounts_.end() && !found->second.calls.empty();
}

void retry_ledger::expire(time_point now) {
    while (!retired_.empty() &&
           (retired_.size() > max_retired || retired_.front().at + retired_lifetime <= now)) {
        accounts_.erase(retired_.front().parent);
        retired_.pop_front();
    }
}

} // namespace trefoil
