// Fault matrix: injects every fault at every step of a request.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <trefoil/faults/trial.hpp>

namespace trefoil {

/// Progress of the request under test when the fault is injected.
enum class call_step : std::uint8_t {
    /// In transit from the caller to the first node, before a table row is matched.
    before_match,
    /// In the queue of the node of the first target.
    queued,
    /// Sent to a node of the next service, but not yet received there.
    handed_on,
    /// A target of the deepest service is working on it.
    running,
    /// The deepest target has responded; the response is in transit between nodes.
    answered,
    /// The complete response is in transit to the caller.
    answer_on_its_way,
    /// The caller has received the response.
    after,
};

inline constexpr std::size_t call_step_count = 7;

std::string_view name_of(call_step step);

/// The node to which a fault is applied, by its role in the request.
enum class victim : std::uint8_t { edge, middle, deepest };

std::string_view name_of(victim who);

/// One fault of the project's requirements, as commands. If `strikes_node` is set, the number `x`
/// of each command is replaced by the victim's index. In commands that act on a submission, number
/// 0 is the request under test and any other number is the most recent submission.
struct fault {
    std::string name;
    std::vector<command> commands;
    bool needs_victim = false;

    friend bool operator==(const fault&, const fault&) = default;
};

/// The faults of the project's requirements.
const std::vector<fault>& all_faults();

/// One cell of the matrix: one or two faults at one step of one request.
struct matrix_cell {
    request_kind kind = request_kind::read;
    call_step step = call_step::before_match;
    std::size_t first = 0;
    victim first_victim = victim::edge;
    /// A second fault, injected at the same time at its own victim.
    std::optional<std::size_t> second;
    victim second_victim = victim::edge;

    friend bool operator==(const matrix_cell&, const matrix_cell&) = default;
};

/// Names of the cell's faults with their victims.
std::string faults_of(const matrix_cell& cell);
std::string to_string(const matrix_cell& cell);

/// All single faults and selected pairs of faults, at every step of a read and of a booking. The
/// pairs combine a fault of a process with one of the network, the platform or the load, or with a
/// fault of a second process.
std::vector<matrix_cell> all_cells();

/// Result of one cell.
struct cell_result {
    matrix_cell cell;
    /// False if the request did not reach the step, so that no fault was injected.
    bool was_reached = false;
    std::vector<violation> violations;
    std::vector<std::string> log;
};

/// Runs the cell in a new trial with a fixed seed and checks all invariants.
cell_result run_cell(const matrix_cell& cell);

/// Formats the results as a Markdown table with a row for each fault and request kind, and a column
/// for each step.
std::string to_markdown(const std::vector<cell_result>& results);

} // namespace trefoil
