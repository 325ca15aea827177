#include <trefoil/proxy/registry_replica.hpp>

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

namespace trefoil {

std::uint64_t registry_replica::last_change(const std::string& key) const {
    const auto present = records_.find(key);
    if (present != records_.end()) {
        return present->second.revision;
    }
    const auto removed = removals_.find(key);
    return removed == removals_.end() ? 0 : removed->second;
}

bool registry_replica::is_known(const registry_record& change, std::uint64_t forgotten) {
    const auto known = last_change(change.key);
    const auto last = records_.contains(change.key) ? known : std::max(known, forgotten);
    if (change.revision == 0 || change.revision > last) {
        return false;
    }
    ignored_records_ += change.revision < known ? 1 : 0;
    return true;
}

void registry_replica::store(const registry_record& record) {
    changes_.erase({last_change(record.key), record.key});
    changes_.insert({record.revision, record.key});
    if (record.is_removal) {
        records_.erase(record.key);
        removals_[record.key] = record.revision;
    } else {
        removals_.erase(record.key);
        records_[record.key] = record;
    }
}

std::vector<registry_record> registry_replica::merge_changes(std::vector<registry_record> changes,
                                                             std::uint64_t revision) {
    std::erase_if(changes, [&](const registry_record& change) {
        if (is_known(change, oldest_revision_)) {
            return true;
        }
        store(change);
        return false;
    });
    if (changes_.size() > max_changes) {
        forget_changes(std::next(changes_.rbegin(), max_changes)->first);
    }
    revision_ = std::max(revision_, revision);
    return changes;
}

std::vector<registry_record> registry_replica::merge_all(std::vector<registry_record> all,
                                                         std::uint64_t revision) {
    std::set<std::string> published;
    for (const auto& record : all) {
        published.insert(record.key);
    }
    for (const auto& [key, record] : records_) {
        if (record.revision <= revision && !published.contains(key)) {
            all.push_back({key, {}, revision, 0, true});
        }
    }
    std::erase_if(all, [&](const registry_record& record) {
        if (is_known(record, 0)) {
            return true;
        }
        store(record);
        return false;
    });
    revision_ = std::max(revision_, revision);
    forget_changes(revision);
    return all;
}

void registry_replica::forget_changes(std::uint64_t revision) {
    oldest_revision_ = std::max(oldest_revision_, revision);
    if (oldest_revision_ > first_revision_) {
        era_changes_.clear();
    }
    std::erase_if(changes_, [&](const auto& change) { return change.first <= oldest_revision_; });
    std::erase_if(removals_,
                  [&](const auto& removal) { return removal.second <= oldest_revision_; });
}

std::vector<registry_record> registry_replica::merge(registry_difference difference) {
    if (difference.era < era_) {
        ignored_records_ += difference.records.size();
        return {};
    }
    if (difference.era > era_) {
        return begin_era(std::move(difference));
    }
    return difference.is_complete
               ? merge_all(std::move(difference.records), difference.revision)
               : merge_changes(std::move(difference.records), difference.revision);
}

std::vector<registry_record> registry_replica::begin_era(registry_difference difference) {
    former_position_ = position();
    auto former = records_;
    if (difference.is_complete) {
        records_.clear();
    }
    era_changes_.clear();
    std::vector<registry_record> changes;
    std::set<std::string> named;
    for (auto& record : difference.records) {
        store(record);
        named.insert(record.key);
        const auto known = former.find(record.key);
        const bool is_same = known != former.end() && !record.is_removal &&
                             known->second.value == record.value &&
                             known->second.created == record.created;
        // A node at the former position may lack what came to this one with a revision beyond it.
        if (is_same && known->second.revision > former_position_.revision) {
            era_changes_.push_back(record);
        }
        if (known != former.end()) {
            former.erase(known);
        }
        if (!is_same) {
            changes.push_back(std::move(record));
        }
    }
    if (difference.is_complete) {
        for (const auto& [key, record] : former) {
            changes.push_back({key, {}, difference.revision, 0, true});
        }
    }
    removals_.clear();
    changes_.clear();
    // Records that the difference doesn't name keep their content, not the revisions of before.
    for (auto& [key, record] : records_) {
        if (!named.contains(key)) {
            record.revision = std::min(record.revision, difference.revision);
        } else if (record.revision > difference.revision) {
            changes_.insert({record.revision, key});
        }
    }
    era_ = difference.era;
    revision_ = difference.revision;
    first_revision_ = difference.revision;
    oldest_revision_ = difference.revision;
    era_changes_.insert(era_changes_.end(), changes.begin(), changes.end());
    return changes;
}

void registry_replica::keep(const registry_record& in_force) {
    const auto found = records_.find(in_force.key);
    if (found != records_.end()) {
        found->second.value = in_force.value;
    }
    std::erase_if(era_changes_,
                  [&](const registry_record& record) { return record.key == in_force.key; });
    changes_.erase({last_change(in_force.key), in_force.key});
}

registry_difference registry_replica::everything() const {
    registry_difference difference{true, {}, revision_, era_};
    for (const auto& [key, record] : records_) {
        difference.records.push_back(record);
    }
    return difference;
}

registry_difference registry_replica::kept_changes_since(std::uint64_t revision) const {
    registry_difference difference{false, {}, revision_, era_};
    const auto first = changes_.lower_bound({revision + 1, {}});
    std::transform(
        first, changes_.end(), std::back_inserter(difference.records), [&](const auto& change) {
            const auto& [changed_at, key] = change;
            const auto present = records_.find(key);
            return present != records_.end() ? present->second
                                             : registry_record{key, {}, changed_at, 0, true};
        });
    return difference;
}

registry_difference registry_replica::changes_since(const registry_position& from) const {
    if (from >= position()) {
        return {false, {}, revision_, era_};
    }
    if (from.era == era_) {
        return from.revision < oldest_revision_ ? everything() : kept_changes_since(from.revision);
    }
    const bool are_all_kept = oldest_revision_ == first_revision_;
    if (from != former_position_ || !are_all_kept) {
        return everything();
    }
    auto difference = kept_changes_since(first_revision_);
    difference.records.insert(difference.records.begin(), era_changes_.begin(), era_changes_.end());
    return difference;
}

} // namespace trefoil
