#include <doctest/doctest.h>

#include "test_site.hpp"

using namespace trefoil;

namespace {

service_work work_of(const service_name& service, const std::string&) {
    service_work work;
    work.compute = service.str() == "b" ? 10ms : 1ms;
    if (service.str() == "a") {
        work.children = {{service_name("b"), "GET", "/b"}};
    }
    return work;
}

constexpr const char* domains[] = {"d1", "d2", "d3", "d4"};

/// Four domains, each with one instance of `a`, which calls `b`, and one instance of `b`.
struct four_domains : test_site {
    explicit four_domains(routing_settings routing) : test_site(work_of) {
        for (const auto* domain : domains) {
            add("a", domain, 1, 100, routing);
            add("b", domain, 1, 10, routing);
        }
    }
};

routing_settings without_ejection() {
    routing_settings settings;
    settings.is_ejection_enabled = false;
    return settings;
}

enum class fault { dead, paused };

// Runs without retries, so that each failed attempt is a failed request.
call_counts serve_with(fault what, const routing_settings& routing) {
    four_domains site(routing);
    site.start(0);
    call_counts counts;
    for (const auto* domain : domains) {
        site.load(instance_id(std::string("a-") + domain + "-1"), "a", "/x", 100, 10s, counts);
    }
    site.run_for(1s);
    const instance_id bad("b-d2-1");
    if (what == fault::dead) {
        site.fleet.kill(bad);
    } else {
        site.fleet.pause(bad);
    }
    site.run_for(11s);
    return counts;
}

} // namespace

TEST_CASE("a killed instance fails a few calls, not all calls of its domain") {
    const auto before = serve_with(fault::dead, without_ejection());
    const auto after = serve_with(fault::dead, {});
    MESSAGE("dead: completed " << before.completed << " without ejection, " << after.completed
                               << " with, of " << after.sent);
    CHECK(before.completed < before.sent * 8 / 10);
    CHECK(after.completed > after.sent * 99 / 100);
}

TEST_CASE("a paused node fails the calls of about one deadline") {
    const auto before = serve_with(fault::paused, without_ejection());
    const auto after = serve_with(fault::paused, {});
    MESSAGE("paused: completed " << before.completed << " without ejection, " << after.completed
                                 << " with, of " << after.sent);
    CHECK(before.completed < before.sent * 8 / 10);
    CHECK(after.completed > after.sent * 95 / 100);
}

TEST_CASE(
    "bounded spill-over from an overloaded domain costs the others less than 5 % of their calls") {
    const auto serve = [](double spill_share) {
        routing_settings routing;
        routing.spill_share = spill_share;
        four_domains site(routing);
        site.start(2);
        call_counts surged;
        call_counts others;
        site.load(instance_id("a-d1-1"), "a", "/x", 6000, 5s, surged);
        for (const auto* domain : {"d2", "d3", "d4"}) {
            site.load(instance_id(std::string("a-") + domain + "-1"), "a", "/x", 600, 5s, others);
        }
        site.run_for(8s);
        MESSAGE("spill share " << spill_share << ": surged domain " << surged.completed << " of "
                               << surged.sent << ", others " << others.completed << " of "
                               << others.sent);
        return others;
    };
    const auto none = serve(0);
    const auto bounded = serve(0.2);
    const auto unbounded = serve(1000);
    CHECK(bounded.completed > unbounded.completed);
    CHECK(bounded.completed > none.completed * 95 / 100);
}
