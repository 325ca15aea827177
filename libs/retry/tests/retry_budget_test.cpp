#include <doctest/doctest.h>

#include <trefoil/retry/retry_budget.hpp>

using namespace trefoil;

namespace {

int spend_until_refused(retry_budget& budget, time_point now, const service_name& service) {
    int spent = 0;
    while (budget.spend(now, service)) {
        ++spent;
    }
    return spent;
}

} // namespace

TEST_CASE("a service's retries are a fraction of its successes") {
    const service_name booking("booking");
    retry_budget budget({0.5, 0, 4});
    CHECK(spend_until_refused(budget, time_point(1s), booking) == 4);
    budget.succeeded(time_point(1s), booking, false);
    CHECK(spend_until_refused(budget, time_point(1s), booking) == 0);
    budget.succeeded(time_point(1s), booking, false);
    CHECK(spend_until_refused(budget, time_point(1s), booking) == 1);
    for (int i = 0; i < 100; ++i) {
        budget.succeeded(time_point(1s), booking, false);
    }
    CHECK(spend_until_refused(budget, time_point(1s), booking) == 4);
    CHECK(spend_until_refused(budget, time_point(1s), service_name("report")) == 4);
}

TEST_CASE("a rarely called service gains retries over time") {
    const service_name booking("booking");
    retry_budget budget({0, 2, 4});
    CHECK(spend_until_refused(budget, time_point(1s), booking) == 4);
    CHECK(spend_until_refused(budget, time_point(1500ms), booking) == 1);
    CHECK(spend_until_refused(budget, time_point(60s), booking) == 4);
}

TEST_CASE("a retry that succeeds costs nothing") {
    const service_name booking("booking");
    retry_budget budget({0, 0, 2});
    for (int i = 0; i < 10; ++i) {
        CHECK(budget.spend(time_point(1s), booking));
        budget.succeeded(time_point(1s), booking, true);
    }
    CHECK(spend_until_refused(budget, time_point(1s), booking) == 2);
}
