// Workspaces: groups of callers with keys, a priority and a limit on their requests.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <trefoil/base/ids.hpp>

namespace trefoil {

/// Limit on the requests of a workspace at all nodes together: over any time t, at most
/// `requests_per_second` times t plus `burst`.
struct workspace_limit {
    /// Greater than 0.
    double requests_per_second = 0;
    double burst = 0;

    friend bool operator==(const workspace_limit&, const workspace_limit&) = default;
};

/// A workspace as configured by the operators.
struct workspace_entry {
    workspace_name name;
    /// Each key identifies the workspace. A workspace without keys admits no request.
    std::vector<std::string> keys;
    /// Takes precedence over the priority of the route. Empty if the route decides.
    std::optional<std::uint32_t> priority;
    /// Empty if the requests are not limited.
    std::optional<workspace_limit> limit;

    friend bool operator==(const workspace_entry&, const workspace_entry&) = default;
};

/// Why a list of workspaces is invalid.
enum class workspace_error : std::uint8_t {
    /// A name is empty or can't be sent as the value of a header field.
    bad_name,
    /// Two workspaces have the same name.
    shared_name,
    /// A key is empty, too long or contains a byte that is not visible ASCII.
    bad_key,
    /// Two workspaces have the same key.
    shared_key,
    /// A rate or a burst is negative or not finite.
    bad_limit,
};

std::string_view name_of(workspace_error error);

/// An error and the workspace at which it was found.
struct workspace_problem {
    workspace_error error = workspace_error::bad_name;
    workspace_name where;

    friend bool operator==(const workspace_problem&, const workspace_problem&) = default;
};

/// Returns the first problem of the list, or nothing if it is valid.
std::optional<workspace_problem> find_problem(const std::vector<workspace_entry>& workspaces);

} // namespace trefoil
