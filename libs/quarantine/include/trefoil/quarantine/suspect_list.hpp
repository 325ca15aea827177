// What a node knows of requests that may crash targets.
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

/// Times and bounds of the quarantine.
struct quarantine_settings {
    /// False for a node that suspects nothing.
    bool is_enabled = true;
    /// How long a suspicion is held, and how long a convicted request is refused.
    duration hold_time = 60s;
    /// Suspects and convicts that are held at once.
    std::size_t max_entries = 4096;

    friend bool operator==(const quarantine_settings&, const quarantine_settings&) = default;
};

/// Suspects, convicts, and requests that ran to their end lately. A convict is refused for the
/// hold time and stays a suspect for as long again, so that it is convicted by its next crash.
class suspect_list {
public:
    explicit suspect_list(quarantine_settings settings) : settings_(settings) {}

    /// Suspected, convicted, or nothing.
    std::optional<suspicion> state(time_point now, fingerprint request) const;

    /// Suspects a request. A convict stays convicted. False if it is known already, or ran to its
    /// end lately. `incident` names the crash; 0 if it is not known.
    bool suspect(time_point now, fingerprint request, std::uint64_t incident, duration lifetime);

    /// Convicts a request and clears those that are suspected only because of the same crashes.
    /// False if it is convicted already, or ran to its end lately.
    bool convict(time_point now, fingerprint request, std::uint64_t incident, duration lifetime);

    /// True if the request was suspected or convicted.
    bool clear(fingerprint request);

    /// The request ran to its end: it is cleared and for some seconds not suspected again. True
    /// if it was suspected.
    bool ran_to_its_end(time_point now, fingerprint request);

    bool ran_lately(fingerprint request) const;

    /// Suspects a request although it ran to its end lately.
    void forget_good_run(fingerprint request);

    /// The crash that a suspect is known for; 0 for none.
    std::uint64_t incident_of(fingerprint request) const;

    bool empty() const { return entries_.empty(); }
    std::size_t size() const { return entries_.size(); }

private:
    struct entry {
        suspicion state = suspicion::suspected;
        std::uint64_t incident = 0;
        time_point convicted_until;
        time_point until;
    };

    entry& add(time_point now, fingerprint request);
    void make_room(time_point now);

    quarantine_settings settings_;
    std::unordered_map<fingerprint, entry> entries_;
    /// Good runs of the present and the former interval.
    std::unordered_set<fingerprint> good_;
    std::unordered_set<fingerprint> good_before_;
    time_point next_rotation_;
};

} // namespace trefoil
