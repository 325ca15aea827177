// Retry tokens of the calls that a target is working on.
#pragma once

#include <cstdint>
#include <optional>
#include <unordered_map>

#include <trefoil/base/ids.hpp>

namespace trefoil {

/// Keeps, for each call in flight at the target, the retry tokens that it and the calls below it
/// may still spend. Tokens are only ever moved or lost, never made: the sum over a call tree
/// stays at or below what the whole request was born with.
class retry_ledger {
public:
    /// Starts the account of a call. A second open of the same call is a programmer's error.
    void open(call_id parent, std::uint32_t tokens);

    /// Moves tokens from the parent's account to a call below it. An unknown parent has none.
    std::uint32_t lend(call_id parent);

    /// Gives unspent tokens back. Those for an account that is closed are lost.
    void give_back(call_id parent, std::uint32_t tokens);

    /// Takes one token for a retry. False if there is none.
    bool spend(call_id parent);

    /// Ends the account and returns what is left in it; 0 for an unknown one.
    std::uint32_t close(call_id parent);

    bool is_open(call_id parent) const { return accounts_.contains(parent); }
    std::size_t size() const { return accounts_.size(); }

private:
    std::unordered_map<call_id, std::uint32_t> accounts_;
};

} // namespace trefoil
