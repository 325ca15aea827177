#include <doctest/doctest.h>

#include <trefoil/load/load_plan.hpp>
#include <trefoil/load/load_run.hpp>

using namespace trefoil;

TEST_CASE("a plan is parsed statement by statement") {
    const auto parsed = parse_load_plan("# a site\n"
                                        "entry history 127.0.0.1:10\n"
                                        "admin 127.0.0.1:11\n"
                                        "target history 127.0.0.1:12\n"
                                        "kind nurse_read 50.5 GET history /p 500\n"
                                        "kind enrol 5 POST history /e 1000 keyed\n"
                                        "phase surge 2.5 3 100\n"
                                        "call surge GET 127.0.0.1:12 /_slowness/4\n");
    REQUIRE(std::holds_alternative<load_plan>(parsed));
    const auto& plan = std::get<load_plan>(parsed);
    CHECK(plan.kinds.size() == 2);
    CHECK(plan.kinds[1].keyed);
    CHECK(plan.phases.front() == planned_phase{"surge", 2500ms, 3, 100});
    CHECK(plan.calls.front().path == "/_slowness/4");
}

TEST_CASE("every invalid line is reported") {
    const auto parsed = parse_load_plan("entry history nowhere\nkind x y GET a /p 1\n"
                                        "phase one\ncall p PUT 127.0.0.1:1 /x /no/such/file\n");
    REQUIRE(std::holds_alternative<plan_errors>(parsed));
    const auto& errors = std::get<plan_errors>(parsed);
    REQUIRE(errors.size() == 4);
    for (std::size_t i = 0; i < errors.size(); ++i) {
        CHECK(errors[i].line == i + 1);
    }
}
