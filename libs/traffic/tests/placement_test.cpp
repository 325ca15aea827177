#include <doctest/doctest.h>

#include <map>

#include <trefoil/traffic/placement.hpp>

using namespace trefoil;

namespace {

const service_name service("s");

struct placement_fixture {
    instance_directory directory;
    placement balancer{domain_name("d1"), 5};
    placement_request request{service, "r", 1s, {}};
    time_point now{1000s};
    std::map<std::string, duration> latencies;
    /// Share of the requests that an instance answers with an error; every n-th fails.
    std::map<std::string, int> fails_every;
    std::map<std::string, int> attempts;

    void add(const std::string& id, const std::string& domain, duration latency) {
        listed_instance made;
        made.id = instance_id(id);
        made.service = service;
        made.target = {"10.0.0." + std::to_string(latencies.size() + 1), 80};
        made.domain = domain_name(domain);
        made.slots = 10;
        directory.put(made);
        latencies[id] = latency;
    }

    /// Sends requests one after the other, each with the latency of its instance, and returns the
    /// number of requests per instance.
    std::map<std::string, int> run(int count, attempt_result end = attempt_result::answered) {
        std::map<std::string, int> counts;
        for (int i = 0; i < count; ++i) {
            const auto chosen = balancer.choose(now, directory, request);
            const auto id = chosen->id.str();
            ++counts[id];
            balancer.started(now, chosen->id);
            now += 10ms;
            const bool fails = fails_every[id] > 0 && ++attempts[id] % fails_every[id] == 0;
            balancer.finished(
                now, request, chosen->id,
                {fails ? attempt_result::answered_error : end, latencies[id], std::nullopt});
        }
        return counts;
    }
};

} // namespace

TEST_CASE("the own failure domain gets nearly all requests while it is as fast as the others") {
    placement_fixture fixture;
    fixture.add("near", "d1", 100ms);
    fixture.add("far", "d2", 100ms);
    auto counts = fixture.run(1000);
    CHECK(counts["near"] > 950);
}

TEST_CASE("an instance that turned slow loses its requests to another failure domain") {
    placement_fixture fixture;
    fixture.add("near", "d1", 100ms);
    fixture.add("far", "d2", 100ms);
    fixture.run(300);
    fixture.latencies["near"] = 600ms;
    fixture.run(200);
    auto counts = fixture.run(500);
    CHECK(counts["far"] > 350);
}

TEST_CASE("a slow instance that recovers is used again") {
    placement_fixture fixture;
    fixture.add("near", "d1", 600ms);
    fixture.add("far", "d2", 100ms);
    fixture.run(500);
    fixture.latencies["near"] = 100ms;
    fixture.run(1500);
    auto counts = fixture.run(500);
    CHECK(counts["near"] > 400);
}

TEST_CASE("an instance that fails half of its requests gets few while another one is sound") {
    placement_fixture fixture;
    fixture.add("grey", "d1", 100ms);
    fixture.add("sound", "d1", 100ms);
    fixture.add("far", "d2", 100ms);
    fixture.run(300);
    fixture.fails_every["grey"] = 2;
    fixture.run(100);
    auto counts = fixture.run(1000);
    CHECK(counts["grey"] < 250);
    CHECK(counts["sound"] > 600);
    fixture.fails_every["grey"] = 0;
    fixture.run(1500);
    counts = fixture.run(1000);
    CHECK(counts["grey"] > 350);
}

TEST_CASE("failures that all instances share do not move requests to another failure domain") {
    placement_fixture fixture;
    fixture.add("near", "d1", 100ms);
    fixture.add("far", "d2", 100ms);
    fixture.fails_every = {{"near", 2}, {"far", 2}};
    fixture.run(300);
    auto counts = fixture.run(1000);
    CHECK(counts["near"] > 700);
}

TEST_CASE("an excluded instance is not chosen") {
    placement_fixture fixture;
    fixture.add("near", "d1", 100ms);
    fixture.add("far", "d2", 100ms);
    fixture.request.excluded = {instance_id("near")};
    CHECK(fixture.balancer.choose(fixture.now, fixture.directory, fixture.request)->id.str() ==
          "far");
    fixture.request.excluded.push_back(instance_id("far"));
    CHECK_FALSE(
        fixture.balancer.choose(fixture.now, fixture.directory, fixture.request).has_value());
}

TEST_CASE("an instance without capacity is avoided while another has capacity") {
    placement_fixture fixture;
    fixture.add("near", "d1", 100ms);
    fixture.add("far", "d2", 100ms);
    fixture.run(100);
    const instance_id near("near");
    fixture.balancer.started(fixture.now, near);
    fixture.balancer.finished(fixture.now, fixture.request, near,
                              {attempt_result::refused_load, 1ms, load_report{10, 10, 10}});
    std::map<std::string, int> counts;
    for (int i = 0; i < 100; ++i) {
        ++counts[fixture.balancer.choose(fixture.now, fixture.directory, fixture.request)
                     ->id.str()];
    }
    CHECK(counts["far"] > 90);
}

TEST_CASE("an instance that accepts no connections is ejected and tried again later") {
    placement_fixture fixture;
    fixture.add("near", "d1", 100ms);
    fixture.add("far", "d2", 100ms);
    const instance_id near("near");
    for (int i = 0; i < 3; ++i) {
        fixture.balancer.started(fixture.now, near);
        fixture.balancer.finished(fixture.now, fixture.request, near,
                                  {attempt_result::failed, 1ms, std::nullopt});
    }
    for (int i = 0; i < 50; ++i) {
        CHECK(fixture.balancer.choose(fixture.now, fixture.directory, fixture.request)->id.str() ==
              "far");
    }
    fixture.now += 5s;
    std::map<std::string, int> counts;
    for (int i = 0; i < 50; ++i) {
        ++counts[fixture.balancer.choose(fixture.now, fixture.directory, fixture.request)
                     ->id.str()];
    }
    CHECK(counts["near"] > 0);
}

TEST_CASE("the only instance is tried although it is ejected") {
    placement_fixture fixture;
    fixture.add("near", "d1", 100ms);
    const instance_id near("near");
    for (int i = 0; i < 3; ++i) {
        fixture.balancer.started(fixture.now, near);
        fixture.balancer.finished(fixture.now, fixture.request, near,
                                  {attempt_result::failed, 1ms, std::nullopt});
    }
    CHECK(fixture.balancer.choose(fixture.now, fixture.directory, fixture.request)->id.str() ==
          "near");
}

TEST_CASE("a leaving instance is not chosen") {
    placement_fixture fixture;
    fixture.add("near", "d1", 100ms);
    fixture.add("far", "d2", 100ms);
    fixture.balancer.set_leaving(fixture.now, instance_id("near"));
    for (int i = 0; i < 50; ++i) {
        CHECK(fixture.balancer.choose(fixture.now, fixture.directory, fixture.request)->id.str() ==
              "far");
    }
}

TEST_CASE("a new instance of the own failure domain gets work at once") {
    placement_fixture fixture;
    fixture.add("near", "d1", 100ms);
    fixture.run(300);
    fixture.add("new", "d1", 100ms);
    auto counts = fixture.run(200);
    CHECK(counts["new"] > 20);
}
