#include <trefoil/workspace/workspace.hpp>

#include <algorithm>
#include <cmath>
#include <unordered_map>
#include <unordered_set>

#include <trefoil/workspace/credentials.hpp>

namespace trefoil {
namespace {

/// True if the name can be sent as the value of a header field.
bool is_valid_name(std::string_view name) {
    constexpr unsigned char first_printable = 0x20;
    constexpr unsigned char del = 0x7F;
    return !name.empty() && name.front() != ' ' && name.back() != ' ' &&
           std::all_of(name.begin(), name.end(),
                       [](unsigned char c) { return c >= first_printable && c != del; });
}

bool is_valid_limit(const workspace_limit& limit) {
    return std::isfinite(limit.requests_per_second) && limit.requests_per_second > 0 &&
           std::isfinite(limit.burst) && limit.burst >= 0;
}

} // namespace

std::string_view name_of(workspace_error error) {
    switch (error) {
    case workspace_error::bad_name:
        return "bad_name";
    case workspace_error::shared_name:
        return "shared_name";
    case workspace_error::bad_key:
        return "bad_key";
    case workspace_error::shared_key:
        return "shared_key";
    case workspace_error::bad_limit:
        return "bad_limit";
    }
    return "unknown";
}

std::optional<workspace_problem> find_problem(const std::vector<workspace_entry>& workspaces) {
    std::unordered_set<std::string> names;
    std::unordered_map<std::string, workspace_name> owners;
    for (const auto& entry : workspaces) {
        if (!is_valid_name(entry.name.str())) {
            return workspace_problem{workspace_error::bad_name, entry.name};
        }
        if (!names.insert(entry.name.str()).second) {
            return workspace_problem{workspace_error::shared_name, entry.name};
        }
        for (const auto& key : entry.keys) {
            if (!is_valid_key(key)) {
                return workspace_problem{workspace_error::bad_key, entry.name};
            }
            if (owners.try_emplace(key, entry.name).first->second != entry.name) {
                return workspace_problem{workspace_error::shared_key, entry.name};
            }
        }
        if (entry.limit && !is_valid_limit(*entry.limit)) {
            return workspace_problem{workspace_error::bad_limit, entry.name};
        }
    }
    return std::nullopt;
}

} // namespace trefoil
