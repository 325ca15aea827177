// Coalescing of equal reads of one parent that are in flight at the same time.
#pragma once

#include <map>
#include <optional>
#include <string_view>
#include <unordered_map>
#include <vector>

#include <trefoil/base/ids.hpp>

namespace trefoil {

/// True for methods that are safe in the sense of RFC 9110, section 9.2.1.
inline bool is_safe_method(std::string_view method) {
    return method == "GET" || method == "HEAD" || method == "OPTIONS";
}

/// Coalesces equal reads: later ones share the answer of the first one in flight. The attempt
/// continues as long as at least one of its senders waits.
class read_joins {
public:
    /// Returns the equal read that is in flight, if any.
    std::optional<call_id> find(call_id parent, std::uint64_t fingerprint) const {
        const auto found = open_.find({parent, fingerprint});
        return found == open_.end() ? std::nullopt : std::optional(found->second);
    }

    /// Registers a read that is not equal to any in flight.
    void begin(call_id parent, std::uint64_t fingerprint, call_id first) {
        open_[{parent, fingerprint}] = first;
        waiters_[first] = {first};
    }

    /// Makes a further read wait for the answer of the first.
    void join(call_id first, call_id further) {
        waiters_.at(first).push_back(further);
        first_of_[further] = first;
    }

    /// Returns the read whose answer the call waits for: the call itself if it joined none.
    call_id first_of(call_id call) const {
        const auto found = first_of_.find(call);
        return found == first_of_.end() ? call : found->second;
    }

    /// Removes one sender. Returns true if no sender waits for its read any more.
    bool leave(call_id call) {
        const auto first = first_of(call);
        first_of_.erase(call);
        const auto found = waiters_.find(first);
        if (found == waiters_.end()) {
            return true;
        }
        std::erase(found->second, call);
        return found->second.empty();
    }

    /// Ends a read and returns all calls that wait for its answer. For a call that is not a
    /// registered read, this is the call itself.
    std::vector<call_id> end(call_id parent, std::uint64_t fingerprint, call_id first) {
        const auto found = waiters_.find(first);
        if (found == waiters_.end()) {
            return {first};
        }
        auto waiting = std::move(found->second);
        waiters_.erase(found);
        open_.erase({parent, fingerprint});
        for (const auto call : waiting) {
            first_of_.erase(call);
        }
        return waiting;
    }

private:
    std::map<std::pair<call_id, std::uint64_t>, call_id> open_;
    std::unordered_map<call_id, std::vector<call_id>> waiters_;
    std::unordered_map<call_id, call_id> first_of_;
};

} // namespace trefoil
