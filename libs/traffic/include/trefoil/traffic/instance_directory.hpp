// The instances of all services, as read from the registry.
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

/// State of an instance as listed by the registry.
enum class listed_state : std::uint8_t { ready, draining };

/// One instance as the registry lists it.
struct listed_instance {
    instance_id id;
    service_name service;
    /// The target's own address; the target's node has the same IP.
    endpoint target;
    domain_name domain;
    /// Number of requests that the target processes concurrently.
    std::uint32_t slots = 1;
    listed_state state = listed_state::ready;
    /// Era of the registry in which this entry was first seen; 0 if unknown.
    std::uint64_t registry_era = 0;
    /// Registry revision that created this entry; 0 if unknown.
    std::uint64_t registry_revision = 0;
    /// Start time of the target's process, in milliseconds of its own clock; 0 if unknown.
    std::int64_t started_at_ms = 0;
    /// Sequence number of the target's report, counted since its process started.
    std::uint64_t sequence = 0;

    friend bool operator==(const listed_instance&, const listed_instance&) = default;
};

/// Result of a directory operation for one instance, for the log.
enum class directory_change : std::uint8_t {
    none,
    added,
    updated,
    draining,
    removed,
    /// The entry is missing but kept, since it may have expired during a registry outage.
    held,
    /// The entry is older than the latest report of its target and was ignored.
    outdated,
};

/// Local copy of the registry's entries that tolerates registry outages and stale entries. While
/// the registry is unreachable, all entries are kept. An entry that is missing shortly after the
/// registry recovers may have expired because its target could not renew it, so it is held for a
/// while and dropped only if it stays missing. An entry that is older than the latest report
/// of its target is ignored, also after the entry was removed.
class instance_directory {
public:
    /// Longest time after an outage in which targets may renew entries that expired meanwhile.
    static constexpr duration lapse_grace = 1900ms;

    /// Replaces the contents by a complete listing and returns the changes. Entries that the
    /// listing lacks are removed as by remove.
    std::vector<std::pair<instance_id, directory_change>> replace(time_point now,
                                                                  std::vector<listed_instance> all);

    /// Adds or updates one entry.
    directory_change put(listed_instance entry);

    /// Handles an entry that was removed from the registry or can't be read. During an outage and
    /// the hold time after it, the entry is held unless it is draining.
    directory_change remove(time_point now, const instance_id& id);

    /// Records that the process of the instance that started at `started_at_ms` has said itself
    /// that it leaves. Its entry counts as draining from then on, whatever the registry lists,
    /// until the registry lists a later process under this id.
    directory_change announce_leaving(time_point now, const instance_id& id,
                                      std::int64_t started_at_ms);

    /// Notes the start of a registry outage.
    void source_lost();
    /// Notes the end of an outage. Missing entries are held for the given time from now on. Returns
    /// false if there was no outage.
    bool source_regained(time_point now, duration hold_time = lapse_grace);
    /// The end of the last outage; empty if there was none or it lasts.
    std::optional<time_point> source_returned_at() const {
        return is_source_lost_ ? std::nullopt : regained_at_;
    }

    /// Drops the held entries once the registry is reachable and the hold time is over, and
    /// returns their ids.
    std::vector<instance_id> expire(time_point now);

    /// Returns the instances of a service that accept work, including held ones. Of several entries
    /// with one address only the last listed is returned: the processes of the others are gone, but
    /// their entries stay listed for some seconds after a crash.
    const std::vector<listed_instance>& usable(const service_name& service) const;

    /// Returns the entry of an instance, or null if it is not listed.
    const listed_instance* find(const instance_id& id) const;

    /// Returns the entry whose target has this address, or null if there is none. Of several
    /// entries the last listed is returned.
    const listed_instance* at_address(const endpoint& target) const;

    /// Number of entries, including held ones.
    std::size_t size() const { return entries_.size(); }

    /// Calls the function with each entry, including held ones.
    template <class Visitor>
    void visit(Visitor visitor) const {
        for (const auto& [id, stored] : entries_) {
            visitor(stored.listed);
        }
    }

    /// Returns the target IPs of all entries; an IP may occur more than once.
    std::vector<std::string> ips() const;

private:
    struct entry {
        listed_instance listed;
        /// Set while the entry is missing and held.
        std::optional<time_point> missing_since;
    };

    /// Latest report of a target whose entry was removed.
    struct last_report {
        std::int64_t started_at_ms = 0;
        std::uint64_t sequence = 0;
        std::uint64_t registry_era = 0;
        std::uint64_t registry_revision = 0;
        time_point removed_at;
    };

    /// A process that has said that it leaves.
    struct leaving_process {
        std::int64_t started_at_ms = 0;
        time_point announced_at;
    };

    /// Retention of the announcements of processes that are not listed.
    static constexpr duration leaving_process_lifetime = std::chrono::minutes(10);

    /// Retention of the last report of a removed entry.
    static constexpr duration last_report_lifetime = 60s;

    /// True if a missing entry may have expired because of an outage of the registry.
    bool may_have_expired(time_point now) const;
    bool is_outdated(const listed_instance& listed) const;
    /// True if the entry is the removed one, which the registry has taken from a copy of before.
    static bool is_copy(const listed_instance& listed, const last_report& removed);
    void erase(time_point now, const instance_id& id);
    /// Sets the state of an entry to draining if its process has said that it leaves.
    void apply_announcement(listed_instance& listed);
    /// Adds or updates an entry without rebuilding the indexes.
    directory_change store(listed_instance listed);
    /// Rebuilds the indexes by service and by address if entries have changed since the last time,
    /// so that a batch of changes costs one pass over the entries.
    void update_indexes() const;

    std::map<instance_id, entry> entries_;
    std::unordered_map<instance_id, last_report> last_reports_;
    std::unordered_map<instance_id, leaving_process> leaving_processes_;
    mutable std::unordered_map<service_name, std::vector<listed_instance>> usable_;
    /// Id of the last listed entry for each target address.
    mutable std::map<endpoint, instance_id> by_address_;
    mutable bool are_indexes_current_ = true;
    bool is_source_lost_ = false;
    std::optional<time_point> regained_at_;
    /// End of the hold time after the last outage.
    time_point hold_until_;
};

} // namespace trefoil
