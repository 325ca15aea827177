#include <trefoil/traffic/instance_directory.hpp>

#include <algorithm>
#include <set>
#include <tuple>

namespace trefoil {
namespace {

bool is_newer(const listed_instance& left, const listed_instance& right) {
    return std::tuple(left.registry_era, left.registry_revision, left.started_at_ms) >
           std::tuple(right.registry_era, right.registry_revision, right.started_at_ms);
}

} // namespace

std::vector<std::pair<instance_id, directory_change>>
instance_directory::replace(time_point now, std::vector<listed_instance> all) {
    std::vector<std::pair<instance_id, directory_change>> changes;
    std::set<instance_id> present;
    for (auto& listed : all) {
        present.insert(listed.id);
        const auto id = listed.id;
        const auto change = store(std::move(listed));
        if (change != directory_change::none) {
            changes.emplace_back(id, change);
        }
    }
    are_indexes_current_ = false;
    std::vector<instance_id> missing;
    for (const auto& [id, stored] : entries_) {
        if (!present.contains(id) && !stored.missing_since) {
            missing.push_back(id);
        }
    }
    for (const auto& id : missing) {
        changes.emplace_back(id, remove(now, id));
    }
    return changes;
}

bool instance_directory::is_outdated(const listed_instance& listed) const {
    std::int64_t started_at_ms = 0;
    std::uint64_t sequence = 0;
    const auto present = entries_.find(listed.id);
    const auto past = last_reports_.find(listed.id);
    if (present != entries_.end()) {
        started_at_ms = present->second.listed.started_at_ms;
        sequence = present->second.listed.sequence;
    } else if (past != last_reports_.end()) {
        started_at_ms = past->second.started_at_ms;
        sequence = past->second.sequence;
    }
    const std::pair reported(listed.started_at_ms, listed.sequence);
    const std::pair last(started_at_ms, sequence);
    const bool is_removed = present == entries_.end() && past != last_reports_.end();
    return reported < last || (is_removed && reported == last && is_copy(listed, past->second));
}

bool instance_directory::is_copy(const listed_instance& listed, const last_report& removed) {
    return listed.registry_era > removed.registry_era &&
           listed.registry_revision == removed.registry_revision;
}

void instance_directory::erase(time_point now, const instance_id& id) {
    const auto found = entries_.find(id);
    const auto& last = found->second.listed;
    last_reports_[id] = {last.started_at_ms, last.sequence, last.registry_era,
                         last.registry_revision, now};
    entries_.erase(found);
    std::erase_if(last_reports_, [&](const auto& item) {
        return now - item.second.removed_at > last_report_lifetime;
    });
}

directory_change instance_directory::put(listed_instance listed) {
    const auto change = store(std::move(listed));
    if (change != directory_change::none && change != directory_change::outdated) {
        are_indexes_current_ = false;
    }
    return change;
}

directory_change instance_directory::store(listed_instance listed) {
    if (is_outdated(listed)) {
        return directory_change::outdated;
    }
    apply_announcement(listed);
    auto& stored = entries_[listed.id];
    const bool is_new = stored.listed.id.empty();
    const bool is_known = !is_new && !stored.missing_since;
    if (!is_new && listed.registry_revision == stored.listed.registry_revision) {
        // The same entry, which a newer era has taken over.
        listed.registry_era = stored.listed.registry_era;
    }
    listed_instance without_sequence = listed;
    without_sequence.sequence = stored.listed.sequence;
    if (is_known && without_sequence == stored.listed) {
        stored.listed.sequence = listed.sequence;
        return directory_change::none;
    }
    const bool starts_draining = listed.state == listed_state::draining &&
                                 (is_new || stored.listed.state != listed_state::draining);
    stored = entry{std::move(listed), std::nullopt};
    if (starts_draining) {
        return directory_change::draining;
    }
    return is_new ? directory_change::added : directory_change::updated;
}

directory_change instance_directory::remove(time_point now, const instance_id& id) {
    const auto found = entries_.find(id);
    if (found == entries_.end()) {
        return directory_change::none;
    }
    const bool is_leaving = found->second.listed.state == listed_state::draining;
    if (may_have_expired(now) && !is_leaving) {
        if (!found->second.missing_since) {
            found->second.missing_since = now;
        }
        return directory_change::held;
    }
    erase(now, id);
    are_indexes_current_ = false;
    return directory_change::removed;
}

directory_change instance_directory::announce_leaving(time_point now, const instance_id& id,
                                                      std::int64_t started_at_ms) {
    std::erase_if(leaving_processes_, [&](const auto& item) {
        return !entries_.contains(item.first) &&
               now - item.second.announced_at > leaving_process_lifetime;
    });
    leaving_processes_[id] = {started_at_ms, now};
    const auto found = entries_.find(id);
    if (found == entries_.end()) {
        return directory_change::none;
    }
    auto& listed = found->second.listed;
    const bool was_ready = listed.state == listed_state::ready;
    apply_announcement(listed);
    if (!was_ready || listed.state == listed_state::ready) {
        return directory_change::none;
    }
    are_indexes_current_ = false;
    return directory_change::draining;
}

void instance_directory::apply_announcement(listed_instance& listed) {
    const auto found = leaving_processes_.find(listed.id);
    if (found == leaving_processes_.end()) {
        return;
    }
    if (listed.started_at_ms > found->second.started_at_ms) {
        leaving_processes_.erase(found);
        return;
    }
    listed.state = listed_state::draining;
}

void instance_directory::source_lost() {
    is_source_lost_ = true;
}

bool instance_directory::source_regained(time_point now, duration hold_time) {
    if (!is_source_lost_) {
        return false;
    }
    is_source_lost_ = false;
    regained_at_ = now;
    hold_until_ = now + hold_time;
    return true;
}

bool instance_directory::may_have_expired(time_point now) const {
    return is_source_lost_ || now < hold_until_;
}

std::vector<instance_id> instance_directory::expire(time_point now) {
    std::vector<instance_id> expired;
    if (may_have_expired(now)) {
        return expired;
    }
    for (const auto& [id, stored] : entries_) {
        if (stored.missing_since) {
            expired.push_back(id);
        }
    }
    for (const auto& id : expired) {
        erase(now, id);
    }
    if (!expired.empty()) {
        are_indexes_current_ = false;
    }
    return expired;
}

const std::vector<listed_instance>& instance_directory::usable(const service_name& service) const {
    static const std::vector<listed_instance> none;
    update_indexes();
    const auto found = usable_.find(service);
    return found == usable_.end() ? none : found->second;
}

const listed_instance* instance_directory::find(const instance_id& id) const {
    const auto found = entries_.find(id);
    return found == entries_.end() ? nullptr : &found->second.listed;
}

const listed_instance* instance_directory::at_address(const endpoint& target) const {
    update_indexes();
    const auto found = by_address_.find(target);
    return found == by_address_.end() ? nullptr : find(found->second);
}

std::vector<std::string> instance_directory::ips() const {
    std::vector<std::string> all;
    for (const auto& [id, stored] : entries_) {
        all.push_back(stored.listed.target.ip);
    }
    return all;
}

void instance_directory::update_indexes() const {
    if (are_indexes_current_) {
        return;
    }
    are_indexes_current_ = true;
    usable_.clear();
    by_address_.clear();
    for (const auto& [id, stored] : entries_) {
        const auto [at, is_first] = by_address_.try_emplace(stored.listed.target, id);
        if (!is_first && is_newer(stored.listed, entries_.at(at->second).listed)) {
            at->second = id;
        }
    }
    for (const auto& [address, id] : by_address_) {
        const auto& listed = entries_.at(id).listed;
        if (listed.state == listed_state::ready) {
            usable_[listed.service].push_back(listed);
        }
    }
}

} // namespace trefoil
