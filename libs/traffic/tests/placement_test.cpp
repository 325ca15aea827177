#include <doctest/doctest.h>

#include <map>

#include <trefoil/traffic/placement.hpp>

using namespace trefoil;

namespace {

const service_name service("s");

struct fleet {
    instance_directory directory;
    placement places{domain_name("d1"), 5};
    placement_request request{service, "r", 1s, {}};
    time_point now{1000s};
    std::map<std::string, duration> times;

    void add(const std::string& id, const std::string& domain, duration time) {
        listed_instance made;
        made.id = instance_id(id);
        made.service = service;
        made.target = {"10.0.0." + std::to_string(times.size() + 1), 80};
        made.domain = domain_name(domain);
        made.slots = 10;
        directory.put(made);
        times[id] = time;
    }

    /// Sends requests one after the other; each takes its instance's time.
    std::map<std::string, int> run(int count, attempt_result end = attempt_result::answered) {
        std::map<std::string, int> counts;
        for (int i = 0; i < count; ++i) {
            const auto chosen = places.choose(now, directory, request);
            const auto id = chosen->id.str();
            ++counts[id];
            places.started(now, chosen->id);
            now += 10ms;
            places.finished(now, request, chosen->id, {end, times[id], std::nullopt});
        }
        return counts;
    }
};

} // namespace

TEST_CASE("the own failure domain gets nearly all while it is as good as the others") {
    fleet at;
    at.add("near", "d1", 100ms);
    at.add("far", "d2", 100ms);
    auto counts = at.run(1000);
    CHECK(counts["near"] > 950);
}

TEST_CASE("an instance that turned slow loses its requests to another failure domain") {
    fleet at;
    at.add("near", "d1", 100ms);
    at.add("far", "d2", 100ms);
    at.run(300);
    at.times["near"] = 600ms;
    at.run(200);
    auto counts = at.run(500);
    CHECK(counts["far"] > 350);
}

TEST_CASE("a slow instance that recovers is used again") {
    fleet at;
    at.add("near", "d1", 600ms);
    at.add("far", "d2", 100ms);
    at.run(500);
    at.times["near"] = 100ms;
    at.run(1500);
    auto counts = at.run(500);
    CHECK(counts["near"] > 400);
}

TEST_CASE("an excluded instance is not chosen") {
    fleet at;
    at.add("near", "d1", 100ms);
    at.add("far", "d2", 100ms);
    at.request.excluded = {instance_id("near")};
    CHECK(at.places.choose(at.now, at.directory, at.request)->id.str() == "far");
    at.request.excluded.push_back(instance_id("far"));
    CHECK_FALSE(at.places.choose(at.now, at.directory, at.request).has_value());
}

TEST_CASE("an instance without room is avoided while another has room") {
    fleet at;
    at.add("near", "d1", 100ms);
    at.add("far", "d2", 100ms);
    at.run(100);
    const instance_id near("near");
    at.places.started(at.now, near);
    at.places.finished(at.now, at.request, near,
                       {attempt_result::refused_load, 1ms, load_report{10, 10, 10}});
    std::map<std::string, int> counts;
    for (int i = 0; i < 100; ++i) {
        ++counts[at.places.choose(at.now, at.directory, at.request)->id.str()];
    }
    CHECK(counts["far"] > 90);
}

TEST_CASE("an instance that takes no connections is ejected and tried again later") {
    fleet at;
    at.add("near", "d1", 100ms);
    at.add("far", "d2", 100ms);
    const instance_id near("near");
    for (int i = 0; i < 3; ++i) {
        at.places.started(at.now, near);
        at.places.finished(at.now, at.request, near, {attempt_result::failed, 1ms, std::nullopt});
    }
    for (int i = 0; i < 50; ++i) {
        CHECK(at.places.choose(at.now, at.directory, at.request)->id.str() == "far");
    }
    at.now += 5s;
    std::map<std::string, int> counts;
    for (int i = 0; i < 50; ++i) {
        ++counts[at.places.choose(at.now, at.directory, at.request)->id.str()];
    }
    CHECK(counts["near"] > 0);
}

TEST_CASE("the only instance is tried although it is ejected") {
    fleet at;
    at.add("near", "d1", 100ms);
    const instance_id near("near");
    for (int i = 0; i < 3; ++i) {
        at.places.started(at.now, near);
        at.places.finished(at.now, at.request, near, {attempt_result::failed, 1ms, std::nullopt});
    }
    CHECK(at.places.choose(at.now, at.directory, at.request)->id.str() == "near");
}

TEST_CASE("a leaving instance is left") {
    fleet at;
    at.add("near", "d1", 100ms);
    at.add("far", "d2", 100ms);
    at.places.set_leaving(at.now, instance_id("near"));
    for (int i = 0; i < 50; ++i) {
        CHECK(at.places.choose(at.now, at.directory, at.request)->id.str() == "far");
    }
}

TEST_CASE("a new instance of the own failure domain gets work at once") {
    fleet at;
    at.add("near", "d1", 100ms);
    at.run(300);
    at.add("new", "d1", 100ms);
    auto counts = at.run(200);
    CHECK(counts["new"] > 20);
}
