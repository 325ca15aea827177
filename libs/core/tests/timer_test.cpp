#include <algorithm>

#include <doctest/doctest.h>

#include <trefoil/core/node_core.hpp>

using namespace trefoil;

namespace {

const arm_timer* find_timer(const actions& out) {
    const auto found = std::find_if(out.begin(), out.end(), [](const action& one) {
        return std::holds_alternative<arm_timer>(one);
    });
    return found == out.end() ? nullptr : &std::get<arm_timer>(*found);
}

} // namespace

// The timers of the runtime have a resolution of 1 ms and may fire up to 1 ms too early.
TEST_CASE("a timer that fires too early is armed again") {
    node_core core(core_settings{});
    const time_point start{};
    core.start(start);
    const auto out = core.step(start, platform_read_failed{document_id::table});
    const auto* timer = find_timer(out);
    REQUIRE(timer != nullptr);
    const auto due = timer->at;
    const auto too_early = core.step(due - 1us, timer_fired{});
    const auto* again = find_timer(too_early);
    REQUIRE(again != nullptr);
    CHECK(again->at == due);
    const auto in_time = core.step(due, timer_fired{});
    CHECK(std::any_of(in_time.begin(), in_time.end(), [](const action& one) {
        return std::holds_alternative<platform_read>(one);
    }));
}
