// Equal reads of one parent that are in flight at the same time.
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

/// Lets equal reads share the answer of the first of them. A read is sent as long as one of its
/// senders waits.
class read_joins {
public:
    /// The read that is equal and in flight, or nothing.
    std::optional<call_id> find(call_id parent, std::uint64_t fingerprint) const {
        const auto found = open_.find({parent, fingerprint});
        return found == open_.end() ? std::nullopt : std::optional(found->second);
    }

    /// Notes the first read of its kind.
    void begin(call_id parent, std::uint64_t fingerprint, call_id first) {
        open_[{parent, fingerprint}] = first;
        waiters_[first] = {first};
    }

    /// Lets a further read wait for the first.
    void join(call_id first, call_id further) {
        waiters_.at(first).push_back(further);
        first_of_[further] = first;
    }

    /// The read whose answer the call waits for: itself, if it joined none.
    call_id first_of(call_id call) const {
        const auto found = first_of_.find(call);
        return found == first_of_.end() ? call : found->second;
    }

    /// Takes one sender out. True if nobody waits for its read any more.
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

    /// Ends a read; returns all calls that wait for its answer. A call that is no read waits for
    /// itself.
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
