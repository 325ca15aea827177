// How far the nodes of a fleet are with the published documents.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <absl/status/statusor.h>

#include <trefoil/base/ids.hpp>
#include <trefoil/operate/table_commands.hpp>

namespace trefoil {

/// Failures of reading a node's status page.
enum class state_failure { no_json, field_missing };

absl::StatusCode status_code(state_failure failure);
std::string_view name_of(state_failure failure);

/// One document at one node.
struct document_state {
    revision held;
    std::string hash;
    double in_force_seconds = 0;
    double confirmed_seconds = 0;
    /// `platform`, a neighbour's instance id, or empty.
    std::string source;
    /// The highest revision that the node has heard of.
    revision heard;

    friend bool operator==(const document_state&, const document_state&) = default;
};

/// One node.
struct node_state {
    std::string instance;
    std::string domain;
    document_state table;
    document_state instances;

    friend bool operator==(const node_state&, const node_state&) = default;
};

/// Reads a node's `/status` page. Fails with a state_failure.
absl::StatusOr<node_state> read_node_state(std::string_view page);

/// What a node answered; the state is absent if it gave no answer.
struct asked_node {
    std::string address;
    absl::StatusOr<node_state> state;
};

/// A line a node and document: revision in force, its age, where it came from, when it was last
/// confirmed, and how many revisions it is behind the highest that any of the nodes knows.
/// exit_found if a node is behind, differs in its hash or did not answer.
command_result compare_nodes(const std::vector<asked_node>& nodes);

} // namespace trefoil
