#include "compare_workspaces.hpp"

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include <fmt/format.h>

#include <trefoil/workspace/workspace_table.hpp>

namespace trefoil {
namespace {

using workspace_list = std::vector<workspace_entry>;

const workspace_entry* find_workspace(const workspace_list& workspaces,
                                      const workspace_name& name) {
    const auto found =
        std::find_if(workspaces.begin(), workspaces.end(),
                     [&](const workspace_entry& entry) { return entry.name == name; });
    return found == workspaces.end() ? nullptr : &*found;
}

/// Returns the workspace that a key identifies, or null.
const workspace_entry* find_owner(const workspace_list& workspaces, const std::string& key) {
    const auto found =
        std::find_if(workspaces.begin(), workspaces.end(), [&](const workspace_entry& entry) {
            return std::find(entry.keys.begin(), entry.keys.end(), key) != entry.keys.end();
        });
    return found == workspaces.end() ? nullptr : &*found;
}

std::string limit_text(const std::optional<workspace_limit>& limit) {
    return limit ? fmt::format("{} requests per second and a burst of {}",
                               limit->requests_per_second, limit->burst)
                 : std::string("no limit");
}

/// True if a workspace with the second limit can send less in some span of time.
bool is_lowered(const std::optional<workspace_limit>& before,
                const std::optional<workspace_limit>& after) {
    if (!before || !after) {
        return after.has_value();
    }
    return after->requests_per_second < before->requests_per_second || after->burst < before->burst;
}

std::string priority_text(const std::optional<std::uint32_t>& priority) {
    return priority ? std::to_string(*priority) : std::string("that of the route");
}

/// Compares two lists of workspaces.
class workspace_comparison {
public:
    workspace_comparison(const workspace_list& before, const workspace_list& after,
                         std::uint64_t key_salt, findings& found)
        : before_(before), after_(after), key_salt_(key_salt), found_(found) {}

    void compare() {
        for (const auto& entry : after_) {
            const auto* old = find_workspace(before_, entry.name);
            if (old == nullptr) {
                add(finding_kind::workspace_added, severity::note, entry.name,
                    fmt::format("is new and has {}", limit_text(entry.limit)));
            } else {
                compare_terms(*old, entry);
            }
            compare_keys(old, &entry, entry.name);
        }
        for (const auto& old : before_) {
            if (find_workspace(after_, old.name) == nullptr) {
                add(finding_kind::workspace_removed, severity::warning, old.name, "is gone");
                compare_keys(&old, nullptr, old.name);
            }
        }
    }

private:
    using key_list = std::vector<std::string>;

    void add(finding_kind kind, severity level, const workspace_name& place, std::string detail) {
        found_.push_back({kind, level, place, std::move(detail)});
    }

    void compare_terms(const workspace_entry& old, const workspace_entry& entry) {
        if (old.limit != entry.limit) {
            const bool is_less = is_lowered(old.limit, entry.limit);
            add(finding_kind::workspace_limit_changed, is_less ? severity::warning : severity::note,
                entry.name,
                fmt::format("has {}; it had {}", limit_text(entry.limit), limit_text(old.limit)));
        }
        if (old.priority != entry.priority) {
            const bool is_more_important =
                old.priority && entry.priority && *entry.priority < *old.priority;
            add(finding_kind::priority_changed,
                is_more_important ? severity::note : severity::warning, entry.name,
                fmt::format("the priority is {}; it was {}", priority_text(entry.priority),
                            priority_text(old.priority)));
        }
    }

    /// Compares the keys of one workspace, which is null where it is not listed.
    void compare_keys(const workspace_entry* old, const workspace_entry* entry,
                      const workspace_name& name) {
        const key_list none;
        const auto& old_keys = old == nullptr ? none : old->keys;
        const auto& keys = entry == nullptr ? none : entry->keys;
        add_removed_keys(without(old_keys, keys), name);
        add_new_keys(without(keys, old_keys), name);
    }

    void add_removed_keys(const key_list& keys, const workspace_name& name) {
        key_list refused;
        std::map<workspace_name, key_list> moved;
        for (const auto& key : keys) {
            const auto* owner = find_owner(after_, key);
            (owner == nullptr ? refused : moved[owner->name]).push_back(key);
        }
        if (!refused.empty()) {
            add(finding_kind::keys_removed, severity::warning, name,
                fmt::format("{} taken away, requests with them are answered with status 401",
                            keys_text(refused)));
        }
        for (const auto& [owner, owned] : moved) {
            add(finding_kind::keys_moved, severity::warning, name,
                fmt::format("{} moved, requests with them belong to workspace '{}'",
                            keys_text(owned), owner.str()));
        }
    }

    /// Keys that come from another workspace are reported there.
    void add_new_keys(const key_list& keys, const workspace_name& name) {
        key_list unknown;
        std::copy_if(keys.begin(), keys.end(), std::back_inserter(unknown),
                     [&](const auto& key) { return find_owner(before_, key) == nullptr; });
        if (!unknown.empty()) {
            add(finding_kind::keys_added, severity::note, name,
                fmt::format("{} added", keys_text(unknown)));
        }
    }

    static key_list without(const key_list& keys, const key_list& others) {
        key_list left;
        std::copy_if(keys.begin(), keys.end(), std::back_inserter(left), [&](const auto& key) {
            return std::find(others.begin(), others.end(), key) == others.end();
        });
        return left;
    }

    /// Returns the number of keys and their digests.
    std::string keys_text(const key_list& keys) const {
        std::string digests;
        for (const auto& key : keys) {
            digests += fmt::format("{}{}", digests.empty() ? "" : ", ", key_digest(key, key_salt_));
        }
        return fmt::format("{} {} ({})", keys.size(), keys.size() == 1 ? "key" : "keys", digests);
    }

    const workspace_list& before_;
    const workspace_list& after_;
    std::uint64_t key_salt_;
    findings& found_;
};

} // namespace

void compare_workspaces(const traffic_config& before, const traffic_config& after,
                        std::uint64_t key_salt, findings& found) {
    if (!before.workspaces && after.workspaces) {
        found.push_back({finding_kind::keys_required, severity::warning, whole_config{},
                         "workspaces are listed now: requests without a key are answered with "
                         "status 401 on all routes that aren't public"});
    }
    if (before.workspaces && !after.workspaces) {
        found.push_back({finding_kind::keys_not_required, severity::warning, whole_config{},
                         "workspaces are no longer listed: requests need no key on any route, and "
                         "no limit of a workspace holds"});
        return;
    }
    const workspace_list none;
    workspace_comparison(before.workspaces.value_or(none), after.workspaces.value_or(none),
                         key_salt, found)
        .compare();
}

} // namespace trefoil
