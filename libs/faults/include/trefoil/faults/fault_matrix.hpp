// Every fault at every step of a call.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <trefoil/faults/trial.hpp>

namespace trefoil {

/// Where a request is when the fault comes.
enum class call_step : std::uint8_t {
    /// On its way from the caller.
    before_match,
    /// In the queue of the first target's node.
    queued,
    /// Sent to a node of the next service and not arrived there.
    handed_on,
    /// A target of the deepest service works on it.
    running,
    /// The deepest target has answered; the answer is between nodes.
    answered,
    /// The whole answer is on its way to the caller.
    answer_on_its_way,
    /// The caller has the answer.
    after,
};

inline constexpr std::size_t call_step_count = 7;

std::string_view name_of(call_step step);

/// The node that a fault strikes, by its part in the request.
enum class victim : std::uint8_t { edge, middle, deepest };

std::string_view name_of(victim who);

/// One fault of the brief as commands. Where `strikes_node` is set, the number `x` of each command
/// is replaced by the victim's. Submission 0 is the request that is watched, any other the last
/// one.
struct fault {
    std::string name;
    std::vector<command> commands;
    bool strikes_node = false;

    friend bool operator==(const fault&, const fault&) = default;
};

/// The faults of the brief.
const std::vector<fault>& all_faults();

/// One cell: one or two faults at one step of one request.
struct matrix_cell {
    request_kind kind = request_kind::read;
    call_step step = call_step::before_match;
    std::size_t first = 0;
    victim struck = victim::edge;
    /// A second fault that comes at the same moment and strikes another victim.
    std::optional<std::size_t> second;
    victim second_struck = victim::edge;

    friend bool operator==(const matrix_cell&, const matrix_cell&) = default;
};

/// Name of the cell's faults with their victims.
std::string faults_of(const matrix_cell& cell);
std::string to_string(const matrix_cell& cell);

/// Every single fault and the pairs that make sense, at every step.
std::vector<matrix_cell> all_cells();

/// What came of a cell.
struct cell_result {
    matrix_cell cell;
    /// False if the request never came to the step.
    bool was_reached = false;
    std::vector<violation> violations;
    std::vector<std::string> log;
};

cell_result run_cell(const matrix_cell& cell);

/// The results as a page: a row for each fault, a column for each step.
std::string to_markdown(const std::vector<cell_result>& results);

} // namespace trefoil
