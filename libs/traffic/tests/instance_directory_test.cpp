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

struct directory_fixture {
    instance_directory directory;
    time_point now{100s};

    std::size_t usable() const { return directory.usable(service).size(); }
};

} // namespace

TEST_CASE("a draining instance gets no work") {
    directory_fixture fixture;
    fixture.directory.put(make_instance("i"));
    CHECK(fixture.usable() == 1);
    auto leaving = make_instance("i", 2);
    leaving.state = listed_state::draining;
    CHECK(fixture.directory.put(leaving) == directory_change::draining);
    CHECK(fixture.usable() == 0);
}

TEST_CASE("an entry that is older than the target's last report is ignored") {
    directory_fixture fixture;
    auto leaving = make_instance("i", 5);
    leaving.state = listed_state::draining;
    fixture.directory.put(leaving);
    CHECK(fixture.directory.put(make_instance("i", 4)) == directory_change::outdated);
    CHECK(fixture.usable() == 0);
    fixture.directory.remove(fixture.now, instance_id("i"));
    CHECK(fixture.directory.put(make_instance("i", 4)) == directory_change::outdated);
    CHECK(fixture.usable() == 0);
}

TEST_CASE("the sequence starts again when a target restarts under its id") {
    directory_fixture fixture;
    fixture.directory.put(make_instance("i", 50));
    auto restarted = make_instance("i", 1);
    restarted.started_at_ms = 2000;
    CHECK(fixture.directory.put(restarted) == directory_change::updated);
    CHECK(fixture.directory.find(instance_id("i"))->started_at_ms == 2000);
}

TEST_CASE("all entries are kept while the registry is unreachable") {
    directory_fixture fixture;
    fixture.directory.put(make_instance("i"));
    fixture.directory.source_lost();
    fixture.now += 60s;
    CHECK(fixture.directory.expire(fixture.now).empty());
    CHECK(fixture.usable() == 1);
}

TEST_CASE("an entry that expired during an outage is held until it is renewed") {
    directory_fixture fixture;
    fixture.directory.put(make_instance("i"));
    fixture.directory.source_lost();
    fixture.now += 5s;
    fixture.directory.source_regained(fixture.now);
    fixture.directory.replace(fixture.now, {});
    CHECK(fixture.usable() == 1);
    fixture.now += 1500ms;
    CHECK(fixture.directory.expire(fixture.now).empty());
    fixture.directory.put(make_instance("i", 2));
    fixture.now += 2s;
    CHECK(fixture.directory.expire(fixture.now).empty());
    CHECK(fixture.usable() == 1);
}

TEST_CASE("an entry that stays missing after an outage is dropped within two seconds") {
    directory_fixture fixture;
    fixture.directory.put(make_instance("i"));
    fixture.directory.source_lost();
    fixture.now += 5s;
    fixture.directory.source_regained(fixture.now);
    fixture.directory.replace(fixture.now, {});
    fixture.now += 2s;
    CHECK(fixture.directory.expire(fixture.now) == std::vector{instance_id("i")});
    CHECK(fixture.usable() == 0);
}

TEST_CASE("a removal after the grace period of an outage takes effect at once") {
    directory_fixture fixture;
    fixture.directory.put(make_instance("i"));
    fixture.directory.source_lost();
    fixture.directory.source_regained(fixture.now);
    fixture.now += 3s;
    CHECK(fixture.directory.remove(fixture.now, instance_id("i")) == directory_change::removed);
    CHECK(fixture.usable() == 0);
}

TEST_CASE("an entry that was draining is not held") {
    directory_fixture fixture;
    auto leaving = make_instance("i");
    leaving.state = listed_state::draining;
    fixture.directory.put(leaving);
    fixture.directory.source_lost();
    fixture.directory.source_regained(fixture.now);
    CHECK(fixture.directory.remove(fixture.now, instance_id("i")) == directory_change::removed);
}

TEST_CASE("of two entries with one address the one started later is found") {
    directory_fixture fixture;
    fixture.directory.put(make_instance("old"));
    auto newer = make_instance("new");
    newer.started_at_ms = 3000;
    fixture.directory.put(newer);
    CHECK(fixture.directory.at_address({"10.0.0.1", 80})->id.str() == "new");
    CHECK(fixture.directory.at_address({"10.0.0.1", 81}) == nullptr);
}

TEST_CASE("a crashed target's entry is not used beside that of the next target at its address") {
    directory_fixture fixture;
    auto crashed = make_instance("z-old");
    crashed.registry_revision = 7;
    auto next = make_instance("a-new");
    next.registry_revision = 9;
    // Clocks may jump, so a later target may report an earlier start time.
    next.started_at_ms = crashed.started_at_ms - 500;
    fixture.directory.replace(fixture.now, {crashed, next});
    REQUIRE(fixture.usable() == 1);
    CHECK(fixture.directory.usable(service).front().id == next.id);
    CHECK(fixture.directory.at_address(next.target)->id == next.id);
    fixture.directory.remove(fixture.now, next.id);
    CHECK(fixture.usable() == 1);
}

TEST_CASE("an instance that has said that it leaves is draining until its next process is listed") {
    directory_fixture fixture;
    fixture.directory.put(make_instance("i"));
    CHECK(fixture.directory.announce_leaving(fixture.now, instance_id("i"), 1000) ==
          directory_change::draining);
    CHECK(fixture.usable() == 0);
    CHECK(fixture.directory.announce_leaving(fixture.now, instance_id("i"), 1000) ==
          directory_change::none);
    fixture.directory.put(make_instance("i", 2));
    fixture.directory.replace(fixture.now, {make_instance("i", 3)});
    CHECK(fixture.usable() == 0);
    fixture.directory.remove(fixture.now, instance_id("i"));
    fixture.directory.put(make_instance("i", 4));
    CHECK(fixture.usable() == 0);
    auto restarted = make_instance("i", 1);
    restarted.started_at_ms = 2000;
    fixture.directory.put(restarted);
    CHECK(fixture.usable() == 1);
}

TEST_CASE("what an earlier process of an instance said does not bind the listed one") {
    directory_fixture fixture;
    fixture.directory.put(make_instance("i"));
    CHECK(fixture.directory.announce_leaving(fixture.now, instance_id("i"), 500) ==
          directory_change::none);
    CHECK(fixture.usable() == 1);
}

TEST_CASE("a missing entry is held for the time that the end of the outage allows, and no longer") {
    directory_fixture fixture;
    fixture.directory.put(make_instance("i"));
    fixture.directory.source_lost();
    CHECK(fixture.directory.source_regained(fixture.now, 700ms));
    CHECK_FALSE(fixture.directory.source_regained(fixture.now + 500ms, 700ms));
    CHECK(fixture.directory.remove(fixture.now, instance_id("i")) == directory_change::held);
    CHECK(fixture.directory.expire(fixture.now + 699ms).empty());
    CHECK(fixture.directory.expire(fixture.now + 700ms) == std::vector{instance_id("i")});
}

TEST_CASE("an entry that was removed is not taken back from an older copy of the registry") {
    directory_fixture fixture;
    auto listed = make_instance("i", 5);
    listed.registry_era = 1;
    listed.registry_revision = 40;
    fixture.directory.put(listed);
    fixture.directory.remove(fixture.now, listed.id);
    listed.registry_era = 2;
    CHECK(fixture.directory.put(listed) == directory_change::outdated);
    CHECK(fixture.usable() == 0);
    // Its target writes it again.
    listed.registry_revision = 30;
    CHECK(fixture.directory.put(listed) == directory_change::added);
    CHECK(fixture.usable() == 1);
}

TEST_CASE(
    "of two entries with one address the one of the newer era is used, not the older copy's") {
    directory_fixture fixture;
    auto crashed = make_instance("old");
    crashed.registry_era = 1;
    crashed.registry_revision = 40;
    auto next = make_instance("new");
    next.registry_era = 1;
    next.registry_revision = 50;
    fixture.directory.put(crashed);
    fixture.directory.put(next);
    // The copy has the first entry only, and a third process is listed at a lower revision.
    crashed.registry_era = 2;
    CHECK(fixture.directory.put(crashed) == directory_change::none);
    CHECK(fixture.directory.at_address(next.target)->id == next.id);
    auto third = make_instance("third");
    third.registry_era = 2;
    third.registry_revision = 45;
    fixture.directory.put(third);
    CHECK(fixture.directory.at_address(next.target)->id == third.id);
}
