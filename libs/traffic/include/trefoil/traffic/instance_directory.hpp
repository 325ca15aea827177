// The instances of all services, as far as a node knows them.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include <trefoil/base/endpoint.hpp>
#include <trefoil/base/ids.hpp>
#include <trefoil/base/time.hpp>

namespace trefoil {

/// What the registry says of an instance's state.
enum class listed_state : std::uint8_t { ready, draining };

/// One instance as the registry lists it.
struct listed_instance {
    instance_id id;
    service_name service;
    /// The target's own address; the node beside it has the same IP.
    endpoint target;
    domain_name domain;
    /// Requests that the target works on at once.
    std::uint32_t slots = 1;
    listed_state state = listed_state::ready;
    /// Counts the registry's changes up to the one that made this entry; 0 if unknown.
    std::uint64_t listed_by = 0;
    /// When the target's process started, in milliseconds of its own clock; 0 if unknown.
    std::int64_t started_at_ms = 0;
    /// Counts what the target has said of itself since its start.
    std::uint64_t sequence = 0;

    friend bool operator==(const listed_instance&, const listed_instance&) = default;
};

/// A change of what is believed of an instance, for the log.
enum class directory_change : std::uint8_t {
    none,
    added,
    updated,
    draining,
    removed,
    held,
    outdated,
};

/// Follows the registry. While the registry is out of reach, everything is kept. An entry that is
/// missing shortly after the registry's return may have lapsed because its target could not renew
/// it, so it is held for a grace time and dropped only if it stays missing. An entry that is older
/// than what its target has said before is ignored, also after the entry was removed.
class instance_directory {
public:
    /// How long entries that lapsed during an outage may take to come back.
    static constexpr duration lapse_grace = 1900ms;

    /// Takes the complete list of a read.
    std::vector<std::pair<instance_id, directory_change>> replace(time_point now,
                                                                  std::vector<listed_instance> all);

    /// Takes one changed entry.
    directory_change put(listed_instance entry);

    /// An entry was removed or can't be read.
    directory_change remove(time_point now, const instance_id& id);

    /// The registry can't be read, or can again.
    void source_lost();
    void source_regained(time_point now);

    /// Drops held entries whose time is over and returns them.
    std::vector<instance_id> expire(time_point now);

    /// Instances of a service that may be given work, held ones included. Of several at one address
    /// only the last listed counts, since the others' processes are gone: their entries outlive a
    /// crash for some seconds.
    const std::vector<listed_instance>& usable(const service_name& service) const;

    /// The entry of an instance; null if it is not listed.
    const listed_instance* find(const instance_id& id) const;

    /// The entry whose target has this address; null if there is none. The last listed one counts.
    const listed_instance* at_address(const endpoint& target) const;

    /// Entries, held ones included.
    std::size_t size() const { return entries_.size(); }

    /// The machines of all entries; one may occur more than once.
    std::vector<std::string> ips() const;

private:
    struct entry {
        listed_instance listed;
        /// Set while the entry is missing and held.
        std::optional<time_point> missing_since;
    };

    /// What a target last said before its entry was removed.
    struct last_report {
        std::int64_t started_at_ms = 0;
        std::uint64_t sequence = 0;
        time_point removed_at;
    };

    /// How long the last report of a removed entry is kept.
    static constexpr duration last_report_lifetime = 60s;

    bool may_have_lapsed(time_point now) const;
    bool is_outdated(const listed_instance& listed) const;
    void erase(time_point now, const instance_id& id);
    /// Takes an entry in without rebuilding what is derived from the entries.
    directory_change store(listed_instance listed);
    void rebuild();

    std::map<instance_id, entry> entries_;
    std::unordered_map<instance_id, last_report> last_reports_;
    std::unordered_map<service_name, std::vector<listed_instance>> usable_;
    /// The entry that counts at each target's address.
    std::map<endpoint, instance_id> by_address_;
    bool is_source_lost_ = false;
    std::optional<time_point> regained_at_;
};

} // namespace trefoil
