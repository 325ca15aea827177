// A node's copy of what the registry publishes, from which it answers other nodes.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include <trefoil/proxy/registry.hpp>

namespace trefoil {

/// What another node lacks. Between two eras, a difference that is not complete leads from exactly
/// the position that the other node has named.
struct registry_difference {
    /// True if the records are everything that is published, so that what they lack was removed.
    bool is_complete = false;
    std::vector<registry_record> records;
    /// The copy's revision: the difference leads to it.
    std::uint64_t revision = 0;
    std::uint64_t era = 0;

    registry_position position() const { return {era, revision}; }

    friend bool operator==(const registry_difference&, const registry_difference&) = default;
};

/// Copy of the published records. It merges what several sources send, the registry and other
/// nodes, in any order: of two records with one key it keeps the one with the higher revision. It
/// also remembers which keys have changed last, and returns everything to nodes that lack older
/// changes. Values that have been replaced are not kept, so that its size is that of what is
/// published, whatever the number of changes.
///
/// Revisions are compared within an era only. The copy takes over a newer era as a whole and then
/// ignores what comes from an older one.
class registry_replica {
public:
    /// Maximum number of keys whose last change is remembered.
    static constexpr std::size_t max_changes = 2000;

    /// Merges changes that lead to the revision. Returns those that were not known, in their order.
    std::vector<registry_record> merge_changes(std::vector<registry_record> changes,
                                               std::uint64_t revision);

    /// Merges all records that are published at the revision. Returns those that were not known,
    /// followed by removals of the records that are no longer published.
    std::vector<registry_record> merge_all(std::vector<registry_record> all,
                                           std::uint64_t revision);

    /// Merges a difference. Returns what was not known. One of an older era changes nothing. One of
    /// a newer era has to be complete, or to lead from the copy's position.
    std::vector<registry_record> merge(registry_difference difference);

    /// Passes on this record from now on in place of the published one with its key, which is older
    /// than what is in force.
    void keep(const registry_record& in_force);

    /// Highest revision that the copy contains; 0 if it is empty.
    std::uint64_t revision() const { return revision_; }
    registry_position position() const { return {era_, revision_}; }

    /// Number of merged records so far that were older than what was known of their key.
    std::size_t ignored_records() const { return ignored_records_; }

    /// Returns what a node lacks that is at the given revision; nothing if it lacks nothing. Of
    /// several changes of a key it holds the last one.
    registry_difference changes_since(const registry_position& from) const;
    /// The same for a node that is in the copy's era.
    registry_difference changes_since(std::uint64_t revision) const {
        return changes_since(registry_position{era_, revision});
    }

private:
    /// Revision of the last known change or removal of the key; 0 if there is none.
    std::uint64_t last_change(const std::string& key) const;
    /// True if a later change of the key is known, or this one, or if the change was made up to
    /// `forgotten` and the key has no record. Counts those that are older.
    bool is_known(const registry_record& change, std::uint64_t forgotten);
    void store(const registry_record& record);
    /// Takes over a newer era. Returns what differs from the records before.
    std::vector<registry_record> begin_era(registry_difference difference);
    registry_difference everything() const;
    /// The changes after the revision; all of them have to be remembered.
    registry_difference kept_changes_since(std::uint64_t revision) const;
    /// Forgets the changes up to the revision, which all records contain.
    void forget_changes(std::uint64_t revision);

    std::map<std::string, registry_record> records_;
    /// Revisions of the removals among the remembered changes.
    std::unordered_map<std::string, std::uint64_t> removals_;
    /// The last change of each key, as revision and key, by ascending revision.
    std::set<std::pair<std::uint64_t, std::string>> changes_;
    std::uint64_t era_ = 0;
    std::uint64_t revision_ = 0;
    /// The position before the present era, and what differed from there when it began: for nodes
    /// that are still at that position.
    registry_position former_position_;
    std::vector<registry_record> era_changes_;
    /// Revision at which the present era was taken over.
    std::uint64_t first_revision_ = 0;
    std::size_t ignored_records_ = 0;
    /// All changes after this revision are remembered.
    std::uint64_t oldest_revision_ = 0;
};

} // namespace trefoil
