// Messages about limits of workspaces between nodes, and their text.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <trefoil/base/ids.hpp>
#include <trefoil/quota/fleet_quota.hpp>
#include <trefoil/quota/node_quota.hpp>

namespace trefoil {

/// Entries of one message; what doesn't fit follows with the next.
inline constexpr std::size_t max_quota_entries = 1000;

/// Stands for the name of a workspace in messages.
using workspace_code = number_id<struct workspace_code_tag>;
workspace_code code_of(const workspace_name& name);

/// What a node has admitted and what was asked of it, by workspace.
struct node_report {
    struct entry {
        workspace_code workspace;
        quota_use use;
        friend bool operator==(const entry&, const entry&) = default;
    };
    std::vector<entry> entries;

    friend bool operator==(const node_report&, const node_report&) = default;
};

/// Answer to a node: the whole of the workspaces that it named and of those that are scarce. All
/// others have ample room.
struct node_answer {
    struct entry {
        workspace_code workspace;
        whole_quota whole;
        friend bool operator==(const entry&, const entry&) = default;
    };
    std::vector<entry> entries;

    friend bool operator==(const node_answer&, const node_answer&) = default;
};

/// What one domain has admitted and what was asked of it, for another one.
struct domain_report {
    struct entry {
        workspace_code workspace;
        domain_use use;
        friend bool operator==(const entry&, const entry&) = default;
    };
    domain_name from;
    std::vector<entry> entries;

    friend bool operator==(const domain_report&, const domain_report&) = default;
};

std::string encode(const node_report& report);
std::string encode(const node_answer& answer);
std::string encode(const domain_report& report);

/// These return nothing if the text is malformed.
std::optional<node_report> decode_node_report(std::string_view text);
std::optional<node_answer> decode_node_answer(std::string_view text);
std::optional<domain_report> decode_domain_report(std::string_view text);

} // namespace trefoil
