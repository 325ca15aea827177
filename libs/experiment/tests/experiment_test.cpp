#include <doctest/doctest.h>

#include <trefoil/experiment/experiment.hpp>

using namespace trefoil;

namespace {

experiment_plan short_plan(const std::string& site) {
    experiment_plan plan;
    plan.site = site;
    plan.length = 8s;
    plan.seed = 3;
    return plan;
}

} // namespace

TEST_CASE("every request completes when nothing is wrong") {
    for (const auto* site : {"kigali", "keurwoning"}) {
        const auto result = run_experiment(short_plan(site));
        CHECK(result.ratio() > 0.95);
        CHECK(result.recovery == duration{0});
        CHECK(result.max_retries == 0);
        CHECK(result.wasted_work < 0.01);
    }
}

TEST_CASE("the same plan gives the same result") {
    auto plan = short_plan("keurwoning");
    plan.surge = 3;
    plan.clients_retry = 2;
    CHECK(run_experiment(plan) == run_experiment(plan));
}
