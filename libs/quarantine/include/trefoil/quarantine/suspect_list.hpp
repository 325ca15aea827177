// Suspected and convicted requests at one node, which may crash targets.
#pragma once

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include <trefoil/base/time.hpp>
#include <trefoil/quarantine/fingerprint.hpp>
#include <trefoil/wire/control_message.hpp>

namespace trefoil {

/// Time limits and bounds of the quarantine.
struct quarantine_settings {
    /// False disables the quarantine: no request is suspected.
    bool is_enabled = true;
    /// Lifetime of a suspicion, and the time for which a convicted request is refused.
    duration hold_time = 60s;
    /// Maximum number of suspected and convicted requests.
    std::size_t max_entries = 4096;

    friend bool operator==(const quarantine_settings&, const quarantine_settings&) = default;
};

/// Stores the suspected, convicted and recently completed requests. A convicted request is refused
/// for the hold time and then remains suspected for the same time again, so that the next crash it
/// causes convicts it.
class suspect_list {
public:
    explicit suspect_list(quarantine_settings settings) : settings_(settings) {}

    /// Suspected, convicted, or empty for a request that is neither.
    std::optional<suspicion> state(time_point now, fingerprint request) const;

    /// Marks a request as suspected. A convicted request remains convicted. Returns false if the
    /// request is already suspected or convicted, if it has completed recently, or if the
    /// quarantine is disabled. `incident` identifies the crash; 0 if it is unknown.
    bool suspect(time_point now, fingerprint request, std::uint64_t incident, duration lifetime);

    /// Convicts a request and clears the requests that are suspected only for the same crashes.
    /// Returns false if the request is already convicted, if it has completed recently, or if the
    /// quarantine is disabled.
    bool convict(time_point now, fingerprint request, std::uint64_t incident, duration lifetime);

    /// Removes the entry of a request. Returns true if there was an entry.
    bool clear(fingerprint request);

    /// Records that a request has completed: it is cleared and not suspected again while the record
    /// of its completion is kept. Returns true if there was an entry for it.
    bool record_completion(time_point now, fingerprint request);

    /// True if a recent completion of the request is recorded.
    bool completed_recently(fingerprint request) const;

    /// Discards the record of a recent completion, so that the request can be suspected.
    void forget_completion(fingerprint request);

    /// The incident for which a request is suspected or convicted; 0 if there is none.
    std::uint64_t incident_of(fingerprint request) const;

    bool empty() const { return entries_.empty(); }
    std::size_t size() const { return entries_.size(); }

private:
    struct entry {
        suspicion state = suspicion::suspected;
        std::uint64_t incident = 0;
        time_point convicted_until;
        /// End of the entry's lifetime.
        time_point until;
    };

    entry& add(time_point now, fingerprint request);
    void evict_if_full(time_point now);

    quarantine_settings settings_;
    std::unordered_map<fingerprint, entry> entries_;
    /// Requests that completed in the current and in the previous interval.
    std::unordered_set<fingerprint> completed_;
    std::unordered_set<fingerprint> previously_completed_;
    time_point next_rotation_;
};

} // namespace trefoil
