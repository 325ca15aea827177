#include <trefoil/proxy/registry_replica.hpp>

#include <algorithm>
#include <iterator>
#include <set>

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
        changes_.push_back(change);
        return false;
    });
    const auto is_older = [](const registry_record& one, const registry_record& other) {
        return one.revision < other.revision;
    };
    std::stable_sort(changes_.begin(), changes_.end(), is_older);
    if (changes_.size() > max_changes) {
        forget_changes(changes_[changes_.size() - max_changes - 1].revision);
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
    std::erase_if(changes_, [&](const registry_record& change) {
        return change.revision <= oldest_revision_;
    });
    std::erase_if(removals_,
                  [&](const auto& removal) { return removal.second <= oldest_revision_; });
}

std::vector<registry_record> registry_replica::merge(registry_difference difference) {
    return difference.is_complete
               ? merge_all(std::move(difference.records), difference.revision)
               : merge_changes(std::move(difference.records), difference.revision);
}

registry_difference registry_replica::changes_since(std::uint64_t revision) const {
    registry_difference difference;
    difference.revision = revision_;
    if (revision >= revision_) {
        return difference;
    }
    if (revision < oldest_revision_) {
        difference.is_complete = true;
        for (const auto& [key, record] : records_) {
            difference.records.push_back(record);
        }
        return difference;
    }
    std::copy_if(changes_.begin(), changes_.end(), std::back_inserter(difference.records),
                 [&](const registry_record& change) { return change.revision > revision; });
    return difference;
}

} // namespace trefoil
