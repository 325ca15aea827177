#include <map>

#include <doctest/doctest.h>

#include <trefoil/routing/router.hpp>

using namespace trefoil;

namespace {

const service_name service("s");
const location here{domain_name("d1"), region_name("r1")};

member make_member(const std::string& name, const std::string& domain,
                   const std::string& region = "r1") {
    return {instance_id(name), service,    domain_name(domain), region_name(region),
            endpoint{},        endpoint{}, member_state::live};
}

struct router_fixture {
    membership members;
    router balancer;
    random_source random{1};
    time_point now{10s};

    explicit router_fixture(std::vector<member> listed, routing_settings settings = {})
        : balancer(here, settings) {
        members.replace(std::move(listed));
    }

    std::string pick(const std::vector<instance_id>& excluded = {}) {
        const auto chosen = balancer.pick(now, members, service, excluded, random);
        return chosen ? chosen->instance.str() : "";
    }

    void call(const std::string& name, attempt_result result,
              std::optional<load_report> load = {}) {
        balancer.started(instance_id(name));
        balancer.finished(now, instance_id(name), result, load);
    }

    /// Returns the number of calls that each instance gets. Calls to the named instance end with
    /// the given result and those to the others are answered.
    std::map<std::string, int> serve(int count, const std::string& bad, attempt_result result) {
        std::map<std::string, int> served;
        for (int i = 0; i < count; ++i) {
            const auto name = pick();
            ++served[name];
            call(name, name == bad ? result : attempt_result::answered);
            now += 1ms;
        }
        return served;
    }
};

} // namespace

TEST_CASE("the less loaded of two instances is chosen") {
    router_fixture fixture({make_member("a", "d1"), make_member("b", "d1")});
    fixture.pick();
    fixture.balancer.started(instance_id("a"));
    CHECK(fixture.pick() == "b");
}

TEST_CASE("a reported load counts per unit of the limit and fades") {
    router_fixture fixture({make_member("a", "d1"), make_member("b", "d1")});
    fixture.pick();
    fixture.call("a", attempt_result::answered, load_report{10, 0, 100});
    fixture.call("b", attempt_result::answered, load_report{5, 0, 10});
    CHECK(fixture.pick() == "a");
    fixture.balancer.started(instance_id("a"));
    fixture.now += 20s;
    CHECK(fixture.pick() == "b");
}

TEST_CASE("an instance with lost connections is ejected and returns by one trial call") {
    router_fixture fixture(
        {make_member("a", "d1"), make_member("b", "d1"), make_member("c", "d1")});
    const auto served = fixture.serve(200, "a", attempt_result::failed);
    CHECK(served.at("a") == 3);
    fixture.balancer.take_changes();
    fixture.now += 1s;
    std::map<std::string, int> chosen;
    for (int i = 0; i < 50; ++i) {
        const auto name = fixture.pick();
        ++chosen[name];
        fixture.balancer.started(instance_id(name));
    }
    CHECK(chosen["a"] == 1);
    fixture.balancer.finished(fixture.now, instance_id("a"), attempt_result::answered, {});
    const auto changes = fixture.balancer.take_changes();
    REQUIRE(changes.size() == 1);
    CHECK_FALSE(changes.front().is_ejected);
}

TEST_CASE("a failed trial doubles the ejection") {
    router_fixture fixture({make_member("a", "d1"), make_member("b", "d1")});
    fixture.serve(100, "a", attempt_result::failed);
    fixture.now += 1s;
    fixture.call("a", attempt_result::failed);
    const auto changes = fixture.balancer.take_changes();
    REQUIRE(changes.size() == 2);
    CHECK(changes.back().time == 2s);
}

TEST_CASE("at most half of a service is ejected") {
    router_fixture fixture(
        {make_member("a", "d1"), make_member("b", "d1"), make_member("c", "d1")});
    for (const auto* name : {"a", "b", "c"}) {
        fixture.pick();
        for (int i = 0; i < 3; ++i) {
            fixture.call(name, attempt_result::failed);
        }
        fixture.now += 1ms;
    }
    std::map<std::string, int> chosen;
    for (int i = 0; i < 100; ++i) {
        ++chosen[fixture.pick()];
    }
    CHECK(chosen.size() == 2);
    CHECK_FALSE(chosen.contains("c"));
}

TEST_CASE("refusals for load eject nothing") {
    router_fixture fixture({make_member("a", "d1"), make_member("b", "d1")});
    const auto served = fixture.serve(200, "a", attempt_result::refused_load);
    CHECK(served.at("a") > 50);
}

TEST_CASE("timeouts at every instance eject nothing, at one alone they eject it") {
    router_fixture everywhere({make_member("a", "d1"), make_member("b", "d1")});
    for (int i = 0; i < 9; ++i) {
        everywhere.pick();
        everywhere.call("a", attempt_result::timed_out);
        everywhere.call("b", attempt_result::timed_out);
    }
    CHECK(everywhere.balancer.take_changes().empty());
    router_fixture one({make_member("a", "d1"), make_member("b", "d1")});
    CHECK(one.serve(200, "a", attempt_result::timed_out).at("a") <= 4);
}

TEST_CASE("own domain first, then region, then elsewhere") {
    router_fixture fixture(
        {make_member("far", "d9", "r2"), make_member("region", "d2"), make_member("near", "d1")});
    CHECK(fixture.pick() == "near");
    CHECK(fixture.pick({instance_id("near")}) == "region");
    CHECK(fixture.pick({instance_id("near"), instance_id("region")}) == "far");
    fixture.members.announce_leaving(instance_id("near"));
    CHECK(fixture.pick() == "region");
}

TEST_CASE("spill over a refusing domain is bounded to its share") {
    router_fixture fixture({make_member("near", "d1"), make_member("other", "d2")});
    int spilled = 0;
    constexpr int count = 1000;
    for (int i = 0; i < count; ++i) {
        REQUIRE(fixture.pick() == "near");
        fixture.call("near", attempt_result::refused_load);
        spilled += fixture.pick({instance_id("near")}) == "other" ? 1 : 0;
    }
    CHECK(spilled >= 200);
    CHECK(spilled <= 210);
}

TEST_CASE("a domain whose instances are ejected moves its calls without bound") {
    router_fixture fixture({make_member("near", "d1"), make_member("other", "d2")});
    fixture.pick();
    for (int i = 0; i < 3; ++i) {
        fixture.call("near", attempt_result::failed);
    }
    for (int i = 0; i < 100; ++i) {
        CHECK(fixture.pick() == "other");
    }
}

TEST_CASE("state of instances that are no longer called is dropped") {
    std::vector<member> listed;
    for (int i = 0; i < 1000; ++i) {
        listed.push_back(make_member("i" + std::to_string(i), "d1"));
    }
    router_fixture fixture(listed);
    for (int i = 0; i < 2000; ++i) {
        fixture.call(fixture.pick(), attempt_result::answered);
    }
    CHECK(fixture.balancer.size() > 500);
    fixture.members.replace({make_member("only", "d1")});
    fixture.now += 71s;
    fixture.call(fixture.pick(), attempt_result::answered);
    CHECK(fixture.balancer.size() == 1);
}
