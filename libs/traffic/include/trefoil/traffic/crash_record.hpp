// Records which requests were running when targets crashed.
#pragma once

#include <cstdint>
#include <string_view>
#include <unordered_map>
#include <vector>

#include <trefoil/base/time.hpp>

namespace trefoil {

/// Identifies a request across retries: a hash of its method, path, caller's service and body.
using request_fingerprint = std::uint64_t;

request_fingerprint request_fingerprint_of(std::string_view method, std::string_view target,
                                           std::string_view caller, std::string_view body);

/// Tracks requests that were running when targets crashed and have not completed since. A request
/// that was running at three crashes is assumed to cause them and is blocked. A request that
/// completes is cleared, so that a request which merely ran beside a crash is not blocked for it.
/// Protects targets from a request that crashes every target that runs it and is retried on any
/// machine.
class crash_record {
public:
    /// Number of crashes after which a request is blocked.
    static constexpr std::size_t blocking_crashes = 3;
    /// Retention of a request after its last crash.
    static constexpr duration lifetime = 120s;
    static constexpr std::size_t max_entries = 4096;

    /// Records that a target crashed while the request ran there. `crash_id` identifies the crash
    /// across all nodes; each crash counts once. A new request is not recorded when `max_entries`
    /// requests are held and none has expired.
    void record_crash(time_point now, request_fingerprint request, std::uint64_t crash_id);

    /// Clears a request that ran to completion.
    void completed(request_fingerprint request) { entries_.erase(request); }

    /// True if the request was running at enough crashes to be blocked and has not expired.
    bool is_blocked(time_point now, request_fingerprint request) const;
    bool empty() const { return entries_.empty(); }
    std::size_t size() const { return entries_.size(); }

private:
    struct entry {
        std::vector<std::uint64_t> crash_ids;
        time_point last;
    };

    std::unordered_map<request_fingerprint, entry> entries_;
};

} // namespace trefoil
