// Compares the versions of the published documents that the nodes of a fleet use.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <absl/status/statusor.h>

#include <trefoil/base/ids.hpp>
#include <trefoil/operate/table_commands.hpp>

namespace trefoil {

/// Errors of read_node_state().
enum class node_state_error { no_json, field_missing };

absl::StatusCode status_code(node_state_error failure);
std::string_view name_of(node_state_error failure);

/// State of one document on one node.
struct document_state {
    /// The revision in force; 0 if there is none.
    revision held_revision;
    std::string hash;
    /// Time for which the revision has been in force.
    double in_force_seconds = 0;
    /// Time since the revision was last confirmed to be current.
    double confirmed_seconds = 0;
    /// Source of the document: `platform`, the instance id of a neighbour, or empty.
    std::string source;
    /// The latest revision known to the node.
    revision latest_known;

    friend bool operator==(const document_state&, const document_state&) = default;
};

/// State of both documents on one node.
struct node_state {
    std::string instance;
    std::string domain;
    document_state table;
    document_state instances;

    friend bool operator==(const node_state&, const node_state&) = default;
};

/// Parses a node's `/status` page. Returns a node_state_error as error.
absl::StatusOr<node_state> read_node_state(std::string_view page);

/// Result of reading the status page of one node; the state is an error if the read failed.
struct node_response {
    std::string address;
    absl::StatusOr<node_state> state;
};

/// Prints one line for each node and document: the revision in force, its age, its source, the time
/// since it was last confirmed, and the number of revisions by which it is behind the latest one
/// known to any of the nodes. The exit code is exit_findings if a node is behind, has a different
/// hash for the same revision or could not be read.
command_result compare_nodes(const std::vector<node_response>& nodes);

} // namespace trefoil
