#include <doctest/doctest.h>

#include <trefoil/faults/fault_matrix.hpp>

using namespace trefoil;

TEST_CASE("every invariant holds in every cell of the fault matrix") {
    const auto cells = all_cells();
    std::size_t reached = 0;
    for (const auto& cell : cells) {
        const auto result = run_cell(cell);
        reached += result.was_reached ? 1 : 0;
        CHECK_MESSAGE(result.was_reached, to_string(cell) << ": the step was not reached");
        for (const auto& one : result.violations) {
            FAIL_CHECK(to_string(cell) << ": " << name_of(one.broken) << ": " << one.detail);
        }
    }
    MESSAGE("cells: " << cells.size() << ", reached: " << reached);
}
