#include <map>

#include <doctest/doctest.h>

#include <trefoil/routing/router.hpp>

using namespace trefoil;

namespace {

const service_name service("s");
const location here{domain_name("d1"), region_name("r1")};

member make(const std::string& name, const std::string& domain, const std::string& region = "r1") {
    return {instance_id(name), service,    domain_name(domain), region_name(region),
            endpoint{},        endpoint{}, member_state::live};
}

struct picks {
    membership members;
    router route;
    random_source random{1};
    time_point now{10s};

    explicit picks(std::vector<member> listed, routing_settings settings = {})
        : route(here, settings) {
        members.replace(std::move(listed));
    }

    std::string pick(const std::vector<instance_id>& excluded = {}) {
        const auto chosen = route.pick(now, members, service, excluded, random);
        return chosen ? chosen->instance.str() : "";
    }

    void call(const std::string& name, attempt_result result,
              std::optional<load_report> load = {}) {
        route.started(instance_id(name));
        route.finished(now, instance_id(name), result, load);
    }

    /// Calls that each instance gets if the named one ends each so, and the others answer.
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
    picks p({make("a", "d1"), make("b", "d1")});
    p.pick();
    p.route.started(instance_id("a"));
    CHECK(p.pick() == "b");
}

TEST_CASE("a reported load counts per unit of the limit and fades") {
    picks p({make("a", "d1"), make("b", "d1")});
    p.pick();
    p.call("a", attempt_result::answered, load_report{10, 0, 100});
    p.call("b", attempt_result::answered, load_report{5, 0, 10});
    CHECK(p.pick() == "a");
    p.route.started(instance_id("a"));
    p.now += 20s;
    CHECK(p.pick() == "b");
}

TEST_CASE("an instance with lost connections is ejected and returns by one trial call") {
    picks p({make("a", "d1"), make("b", "d1"), make("c", "d1")});
    const auto served = p.serve(200, "a", attempt_result::failed);
    CHECK(served.at("a") == 3);
    p.route.take_changes();
    p.now += 1s;
    std::map<std::string, int> chosen;
    for (int i = 0; i < 50; ++i) {
        const auto name = p.pick();
        ++chosen[name];
        p.route.started(instance_id(name));
    }
    CHECK(chosen["a"] == 1);
    p.route.finished(p.now, instance_id("a"), attempt_result::answered, {});
    const auto changes = p.route.take_changes();
    REQUIRE(changes.size() == 1);
    CHECK_FALSE(changes.front().is_ejected);
}

TEST_CASE("a failed trial doubles the ejection") {
    picks p({make("a", "d1"), make("b", "d1")});
    p.serve(100, "a", attempt_result::failed);
    p.now += 1s;
    p.call("a", attempt_result::failed);
    const auto changes = p.route.take_changes();
    REQUIRE(changes.size() == 2);
    CHECK(changes.back().time == 2s);
}

TEST_CASE("at most half of a service is ejected") {
    picks p({make("a", "d1"), make("b", "d1"), make("c", "d1")});
    for (const auto* name : {"a", "b", "c"}) {
        p.pick();
        for (int i = 0; i < 3; ++i) {
            p.call(name, attempt_result::failed);
        }
        p.now += 1ms;
    }
    std::map<std::string, int> chosen;
    for (int i = 0; i < 100; ++i) {
        ++chosen[p.pick()];
    }
    CHECK(chosen.size() == 2);
    CHECK_FALSE(chosen.contains("c"));
}

TEST_CASE("refusals for load eject nothing") {
    picks p({make("a", "d1"), make("b", "d1")});
    const auto served = p.serve(200, "a", attempt_result::refused_load);
    CHECK(served.at("a") > 50);
}

TEST_CASE("timeouts at every instance eject nothing, at one alone they eject it") {
    picks everywhere({make("a", "d1"), make("b", "d1")});
    for (int i = 0; i < 9; ++i) {
        everywhere.pick();
        everywhere.call("a", attempt_result::timed_out);
        everywhere.call("b", attempt_result::timed_out);
    }
    CHECK(everywhere.route.take_changes().empty());
    picks one({make("a", "d1"), make("b", "d1")});
    CHECK(one.serve(200, "a", attempt_result::timed_out).at("a") <= 4);
}

TEST_CASE("own domain first, then region, then elsewhere") {
    picks p({make("far", "d9", "r2"), make("region", "d2"), make("near", "d1")});
    CHECK(p.pick() == "near");
    CHECK(p.pick({instance_id("near")}) == "region");
    CHECK(p.pick({instance_id("near"), instance_id("region")}) == "far");
    p.members.announce_leaving(instance_id("near"));
    CHECK(p.pick() == "region");
}

TEST_CASE("spill over a refusing domain is bounded to its share") {
    picks p({make("near", "d1"), make("other", "d2")});
    int spilled = 0;
    constexpr int count = 1000;
    for (int i = 0; i < count; ++i) {
        REQUIRE(p.pick() == "near");
        p.call("near", attempt_result::refused_load);
        spilled += p.pick({instance_id("near")}) == "other" ? 1 : 0;
    }
    CHECK(spilled >= 200);
    CHECK(spilled <= 210);
}

TEST_CASE("a domain whose instances are ejected moves its calls without bound") {
    picks p({make("near", "d1"), make("other", "d2")});
    p.pick();
    for (int i = 0; i < 3; ++i) {
        p.call("near", attempt_result::failed);
    }
    for (int i = 0; i < 100; ++i) {
        CHECK(p.pick() == "other");
    }
}

TEST_CASE("state of instances that are no longer called is dropped") {
    std::vector<member> listed;
    for (int i = 0; i < 1000; ++i) {
        listed.push_back(make("i" + std::to_string(i), "d1"));
    }
    picks p(listed);
    for (int i = 0; i < 2000; ++i) {
        p.call(p.pick(), attempt_result::answered);
    }
    CHECK(p.route.size() > 500);
    p.members.replace({make("only", "d1")});
    p.now += 71s;
    p.call(p.pick(), attempt_result::answered);
    CHECK(p.route.size() == 1);
}
