#include <doctest/doctest.h>

#include <algorithm>

#include <trefoil/core/node_core.hpp>

using namespace trefoil;

namespace {

bool arms_timer(const actions& todo) {
    return std::any_of(todo.begin(), todo.end(),
                       [](const action& what) { return std::holds_alternative<arm_timer>(what); });
}

bool exits(const actions& todo) {
    return std::any_of(todo.begin(), todo.end(), [](const action& what) {
        return std::holds_alternative<exit_process>(what);
    });
}

} // namespace

TEST_CASE("no timer is armed once the process may exit") {
    core_settings settings;
    settings.self = instance_id("n1");
    settings.domain = domain_name("d1");
    node_core core(settings);
    time_point now(1s);
    core.start(now);
    REQUIRE_FALSE(exits(core.step(now, stop_requested{})));
    now += 500ms;
    const auto last = core.step(now, timer_fired{});
    REQUIRE(exits(last));
    CHECK_FALSE(arms_timer(last));
    for (int i = 0; i < 100; ++i) {
        now += 100ms;
        CHECK_FALSE(arms_timer(core.step(now, platform_read_failed{document_id::table})));
    }
}
