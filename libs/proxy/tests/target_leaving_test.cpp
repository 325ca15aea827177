// Tests of targets that say in their answers that they leave.
#include <doctest/doctest.h>

#include "two_machine_site.hpp"

using namespace trefoil;

TEST_CASE("a target that has said that it leaves gets no more requests from that machine") {
    two_machine_site site;
    site.targets[0]->is_leaving = true;
    CHECK(site.ask("/write/1").status == 200);
    REQUIRE(site.reached(0) == 1);
    for (int i = 0; i < 5; ++i) {
        CHECK(site.ask("/write/" + std::to_string(i)).status == 200);
    }
    CHECK(site.reached(0) == 1);
    CHECK(site.reached(1) == 5);
}

TEST_CASE("a target that has said that it leaves gets no request even if it is the only one") {
    two_machine_site site;
    site.change({instance_removed{instance_id("i1")}});
    site.targets[0]->is_leaving = true;
    CHECK(site.ask("/read/1").status == 200);
    const auto got = site.ask("/read/2");
    CHECK(got.status == 503);
    CHECK_FALSE(find_header(got.headers, "retry-after").empty());
    CHECK(site.reached(0) == 1);
}

TEST_CASE("a proxy refuses further requests of others to its target once that has said it leaves") {
    two_machine_site site;
    for (std::size_t i = 0; i < 2; ++i) {
        site.change({instance_removed{instance_id("i1")}}, i);
    }
    site.targets[0]->is_leaving = true;
    CHECK(site.ask("/read/1", {}, 0).status == 200);
    CHECK(site.ask("/read/2", {}, 1).status == 503);
    CHECK(site.reached(0) == 1);
}

TEST_CASE("a machine remembers that a target leaves although the target's proxy has restarted") {
    two_machine_site site;
    for (std::size_t i = 0; i < 2; ++i) {
        site.change({instance_removed{instance_id("i1")}}, i);
    }
    site.targets[0]->is_leaving = true;
    CHECK(site.ask("/read/1", {}, 1).status == 200);
    site.restart_node(0);
    CHECK(site.ask("/read/2", {}, 1).status == 503);
    CHECK(site.reached(0) == 1);
}

TEST_CASE("the registry does not bring back a target that has said that it leaves") {
    two_machine_site site;
    site.targets[0]->is_leaving = true;
    CHECK(site.ask("/read/1").status == 200);
    auto next_report = site.instance(0);
    next_report.sequence = 7;
    next_report.slots = 5;
    site.change({next_report});
    CHECK(site.ask("/read/2").status == 200);
    CHECK(site.reached(0) == 1);
}

TEST_CASE("the next process of a target that left gets requests again") {
    two_machine_site site;
    site.targets[0]->is_leaving = true;
    CHECK(site.ask("/read/1").status == 200);
    site.targets[0]->is_leaving = false;
    auto restarted = site.instance(0);
    restarted.started_at_ms = 1;
    site.change({restarted});
    CHECK(site.ask("/read/2").status == 200);
    CHECK(site.reached(0) == 2);
}

TEST_CASE(
    "a request that waits at the gate is not sent to a target that starts to leave meanwhile") {
    two_machine_site site(1);
    site.change({instance_removed{instance_id("i1")}});
    reply running;
    site.send(running, "/read/hang");
    REQUIRE(site.run_until([&] { return site.reached(0) == 1; }));
    reply waiting;
    site.send(waiting, "/read/2");
    site.change({site.instance(0, listed_state::draining)});
    site.targets[0]->requests[0]->respond({.status = 200, .reason = "-"}, "");
    REQUIRE(site.run_until([&] { return waiting.is_finished; }));
    CHECK(site.reached(0) == 1);
    CHECK(waiting.status == 503);
}

TEST_CASE("a proxy refuses others' requests to its target once that is no longer listed") {
    two_machine_site site;
    site.change({instance_removed{instance_id("i1")}}, 1);
    site.change({instance_removed{instance_id("i0")}}, 0);
    CHECK(site.ask("/read/1", {}, 1).status == 503);
    CHECK(site.reached(0) == 0);
    auto next = site.instance(0);
    next.id = instance_id("next");
    next.registry_revision = 1;
    site.change({next}, 1);
    // The proxy beside the target has not heard of its next process yet.
    CHECK(site.ask("/read/2", {}, 1).status == 200);
    CHECK(site.reached(0) == 1);
}
