// A node's copy of what the registry publishes, from which it answers other nodes.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include <trefoil/proxy/registry.hpp>

namespace trefoil {

/// What another node lacks.
struct registry_difference {
    /// True if the records are everything that is published, so that what they lack was removed.
    bool is_complete = false;
    std::vector<registry_record> records;
    /// The copy's revision: the difference leads to it.
    std::uint64_t revision = 0;

    friend bool operator==(const registry_difference&, const registry_difference&) = default;
};

/// Copy of the published records. It merges what several sources send, the registry and other
/// nodes, in any order: of two records with one key it keeps the one with the higher revision. It
/// also keeps the latest changes, and returns everything to nodes that lack older ones.
class registry_replica {
public:
    /// Maximum number of changes that are kept.
    static constexpr std::size_t max_changes = 2000;

    /// Merges changes that lead to the revision. Returns those that were not known, in their order.
    std::vector<registry_record> merge_changes(std::vector<registry_record> changes,
                                               std::uint64_t revision);

    /// Merges all records that are published at the revision. Returns those that were not known,
    /// followed by removals of the records that are no longer published.
    std::vector<registry_record> merge_all(std::vector<registry_record> all,
                                           std::uint64_t revision);

    /// Merges a difference that another node has sent.
    std::vector<registry_record> merge(registry_difference difference);

    /// Highest revision that the copy contains; 0 if it is empty.
    std::uint64_t revision() const { return revision_; }

    /// Number of merged records so far that were older than what was known of their key.
    std::size_t ignored_records() const { return ignored_records_; }

    /// Returns what a node lacks that is at the given revision; nothing if it lacks nothing.
    registry_difference changes_since(std::uint64_t revision) const;

private:
    /// Revision of the last known change or removal of the key; 0 if there is none.
    std::uint64_t last_change(const std::string& key) const;
    /// True if a later change of the key is known, or this one, or if the change was made up to
    /// `forgotten` and the key has no record. Counts those that are older.
    bool is_known(const registry_record& change, std::uint64_t forgotten);
    void store(const registry_record& record);
    /// Drops the changes up to the revision, which all records contain.
    void forget_changes(std::uint64_t revision);

    std::map<std::string, registry_record> records_;
    /// Revisions of the removals among the kept changes.
    std::unordered_map<std::string, std::uint64_t> removals_;
    /// The latest changes, by ascending revision.
    std::deque<registry_record> changes_;
    std::uint64_t revision_ = 0;
    std::size_t ignored_records_ = 0;
    /// All changes after this revision are kept.
    std::uint64_t oldest_revision_ = 0;
};

} // namespace trefoil
