// Remembers which requests were running when targets died.
#pragma once

#include <cstdint>
#include <string_view>
#include <unordered_map>
#include <vector>

#include <trefoil/base/time.hpp>

namespace trefoil {

/// Recognises a request that is sent again: a hash of its method, path, caller's service and body.
using request_print = std::uint64_t;

request_print print_of(std::string_view method, std::string_view target, std::string_view caller,
                       std::string_view body);

/// Requests that were running during the deaths of targets and have not run to their end since.
/// One that was there at three deaths is held to cause them and is blocked; one that completes is
/// cleared, so that a request which was beside another's crash is not blocked for it. Answers a
/// request that kills each target that runs it and comes again at any machine.
class crash_record {
public:
    /// Deaths after which a request is blocked.
    static constexpr std::size_t blocking_deaths = 3;
    /// How long a request is remembered after the last death.
    static constexpr duration lifetime = 120s;
    static constexpr std::size_t max_entries = 4096;

    /// A target died while the request ran there. `death` names the death across all nodes; a death
    /// counts once.
    void died(time_point now, request_print request, std::uint64_t death);

    /// The request ran to its end.
    void completed(request_print request) { entries_.erase(request); }

    bool is_blocked(time_point now, request_print request) const;
    bool empty() const { return entries_.empty(); }
    std::size_t size() const { return entries_.size(); }

private:
    struct entry {
        std::vector<std::uint64_t> deaths;
        time_point last;
    };

    std::unordered_map<request_print, entry> entries_;
};

} // namespace trefoil
