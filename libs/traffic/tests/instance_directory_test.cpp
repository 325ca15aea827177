#include <doctest/doctest.h>

#include <trefoil/traffic/instance_directory.hpp>

using namespace trefoil;

namespace {

const service_name service("s");

listed_instance make_instance(const std::string& id, std::uint64_t sequence = 1) {
    listed_instance made;
    made.id = instance_id(id);
    made.service = service;
    made.target = {"10.0.0.1", 80};
    made.domain = domain_name("d");
    made.slots = 4;
    made.started_at_ms = 1000;
    made.sequence = sequence;
    return made;
}

struct directory_at {
    instance_directory directory;
    time_point now{100s};

    std::size_t usable() const { return directory.usable(service).size(); }
};

} // namespace

TEST_CASE("a draining instance gets no work") {
    directory_at at;
    at.directory.put(make_instance("i"));
    CHECK(at.usable() == 1);
    auto leaving = make_instance("i", 2);
    leaving.state = listed_state::draining;
    CHECK(at.directory.put(leaving) == directory_change::draining);
    CHECK(at.usable() == 0);
}

TEST_CASE("an entry that is older than the last word is ignored") {
    directory_at at;
    auto leaving = make_instance("i", 5);
    leaving.state = listed_state::draining;
    at.directory.put(leaving);
    CHECK(at.directory.put(make_instance("i", 4)) == directory_change::outdated);
    CHECK(at.usable() == 0);
    at.directory.remove(at.now, instance_id("i"));
    CHECK(at.directory.put(make_instance("i", 4)) == directory_change::outdated);
    CHECK(at.usable() == 0);
}

TEST_CASE("a target that starts again under its id counts anew") {
    directory_at at;
    at.directory.put(make_instance("i", 50));
    auto restarted = make_instance("i", 1);
    restarted.started_at_ms = 2000;
    CHECK(at.directory.put(restarted) == directory_change::updated);
    CHECK(at.directory.find(instance_id("i"))->started_at_ms == 2000);
}

TEST_CASE("everything is kept while the registry is out of reach") {
    directory_at at;
    at.directory.put(make_instance("i"));
    at.directory.source_lost();
    at.now += 60s;
    CHECK(at.directory.expire(at.now).empty());
    CHECK(at.usable() == 1);
}

TEST_CASE("an entry that lapsed during an outage is held until it comes back") {
    directory_at at;
    at.directory.put(make_instance("i"));
    at.directory.source_lost();
    at.now += 5s;
    at.directory.source_regained(at.now);
    at.directory.replace(at.now, {});
    CHECK(at.usable() == 1);
    at.now += 1500ms;
    CHECK(at.directory.expire(at.now).empty());
    at.directory.put(make_instance("i", 2));
    at.now += 2s;
    CHECK(at.directory.expire(at.now).empty());
    CHECK(at.usable() == 1);
}

TEST_CASE("an entry that stays missing after an outage is dropped within two seconds") {
    directory_at at;
    at.directory.put(make_instance("i"));
    at.directory.source_lost();
    at.now += 5s;
    at.directory.source_regained(at.now);
    at.directory.replace(at.now, {});
    at.now += 2s;
    CHECK(at.directory.expire(at.now) == std::vector{instance_id("i")});
    CHECK(at.usable() == 0);
}

TEST_CASE("a removal long after an outage counts at once") {
    directory_at at;
    at.directory.put(make_instance("i"));
    at.directory.source_lost();
    at.directory.source_regained(at.now);
    at.now += 3s;
    CHECK(at.directory.remove(at.now, instance_id("i")) == directory_change::removed);
    CHECK(at.usable() == 0);
}

TEST_CASE("an instance that was leaving is not held") {
    directory_at at;
    auto leaving = make_instance("i");
    leaving.state = listed_state::draining;
    at.directory.put(leaving);
    at.directory.source_lost();
    at.directory.source_regained(at.now);
    CHECK(at.directory.remove(at.now, instance_id("i")) == directory_change::removed);
}

TEST_CASE("of two entries with one address the newer start counts") {
    directory_at at;
    at.directory.put(make_instance("old"));
    auto newer = make_instance("new");
    newer.started_at_ms = 3000;
    at.directory.put(newer);
    CHECK(at.directory.at_address({"10.0.0.1", 80})->id.str() == "new");
    CHECK(at.directory.at_address({"10.0.0.1", 81}) == nullptr);
}

TEST_CASE("an entry that outlives its target is not used beside that of the next target there") {
    directory_at at;
    auto dead = make_instance("z-old");
    dead.listed_by = 7;
    auto next = make_instance("a-new");
    next.listed_by = 9;
    // Clocks may jump, so that a later target seems to have started earlier.
    next.started_at_ms = dead.started_at_ms - 500;
    at.directory.replace(at.now, {dead, next});
    REQUIRE(at.usable() == 1);
    CHECK(at.directory.usable(service).front().id == next.id);
    CHECK(at.directory.at_address(next.target)->id == next.id);
    at.directory.remove(at.now, next.id);
    CHECK(at.usable() == 1);
}
