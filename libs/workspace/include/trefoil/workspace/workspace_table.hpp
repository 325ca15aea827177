// Finds the workspace that a key identifies.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include <trefoil/workspace/workspace.hpp>

namespace trefoil {

/// The workspaces of one configuration, by their keys. A returned workspace stays valid after the
/// table is gone. Keys are looked up by a salted hash and compared as a whole, so that the time of
/// a lookup doesn't tell how much of a key matched.
class workspace_table {
public:
    /// `workspaces` must be valid. `salt` is a random number of the process.
    workspace_table(std::shared_ptr<const std::vector<workspace_entry>> workspaces,
                    std::uint64_t salt);

    /// Returns the workspace of the key, or null if there is none.
    std::shared_ptr<const workspace_entry> find(std::string_view key) const;

    const std::vector<workspace_entry>& all() const { return *workspaces_; }

private:
    struct key_owner {
        const std::string* key = nullptr;
        const workspace_entry* owner = nullptr;
    };

    std::shared_ptr<const std::vector<workspace_entry>> workspaces_;
    std::uint64_t salt_;
    std::unordered_multimap<std::uint64_t, key_owner> owners_;
};

/// Returns a short digest of a key, by which the log names it. It can't be compared across
/// processes, since `salt` is a random number of each.
std::string key_digest(std::string_view key, std::uint64_t salt);

} // namespace trefoil
