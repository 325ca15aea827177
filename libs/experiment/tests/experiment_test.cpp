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

TEST_CASE("every request completes without faults or overload") {
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

TEST_CASE("under a surge important requests complete and the service recovers") {
    for (const auto* site : {"kigali", "keurwoning"}) {
        for (std::uint64_t seed = 1; seed <= 2; ++seed) {
            auto plan = short_plan(site);
            plan.length = 16s;
            plan.surge = 3;
            plan.clients_retry = 3;
            plan.seed = seed;
            const auto full = run_experiment(plan);
            plan.policy = experiment_policy::none;
            const auto none = run_experiment(plan);
            plan.policy = experiment_policy::fixed;
            const auto fixed = run_experiment(plan);
            CHECK(full.ratio() >= 0.95);
            CHECK(full.ratio() > none.ratio());
            CHECK(full.ratio() > fixed.ratio());
            REQUIRE(full.recovery);
            CHECK(*full.recovery <= 2s);
            CHECK(full.max_retries <= 3);
        }
    }
}

TEST_CASE("switching off a part of the overload control changes the results of callers") {
    auto plan = short_plan("keurwoning");
    plan.surge = 3;
    const auto whole = run_experiment(plan);
    plan.parts.level = false;
    plan.parts.chain_level = false;
    CHECK(run_experiment(plan).wasted_work > whole.wasted_work);
}
