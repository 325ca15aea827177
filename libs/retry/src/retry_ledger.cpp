#include <trefoil/retry/retry_ledger.hpp>

#include <cassert>

namespace trefoil {

void retry_ledger::open(call_id parent, std::uint32_t tokens) {
    [[maybe_unused]] const bool inserted = accounts_.emplace(parent, tokens).second;
    assert(inserted);
}

std::uint32_t retry_ledger::lend(call_id parent) {
    const auto found = accounts_.find(parent);
    if (found == accounts_.end()) {
        return 0;
    }
    const std::uint32_t lent = (found->second + 1) / 2;
    found->second -= lent;
    return lent;
}

void retry_ledger::give_back(call_id parent, std::uint32_t tokens) {
    const auto found = accounts_.find(parent);
    if (found != accounts_.end()) {
        found->second += tokens;
    }
}

bool retry_ledger::spend(call_id parent) {
    const auto found = accounts_.find(parent);
    if (found == accounts_.end() || found->second == 0) {
        return false;
    }
    --found->second;
    return true;
}

std::uint32_t retry_ledger::close(call_id parent) {
    const auto found = accounts_.find(parent);
    if (found == accounts_.end()) {
        return 0;
    }
    const std::uint32_t left = found->second;
    accounts_.erase(found);
    return left;
}

} // namespace trefoil
