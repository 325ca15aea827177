#include <map>
#include <set>

#include <doctest/doctest.h>

#include "test_site.hpp"

using namespace trefoil;

namespace {

service_work work_of(const service_name& service, const std::string& path) {
    service_work work;
    work.compute = path == "/long" ? 8s : 10ms;
    if (service.str() == "a") {
        work.children = {{service_name("b"), "GET", "/child"}};
    }
    return work;
}

/// Two domains, each with an edge and two instances of `b`.
struct leaving_site : test_site {
    explicit leaving_site(std::uint32_t slots = 10, int deadline_ms = 1000) : test_site(work_of) {
        for (const auto* domain : {"d1", "d2"}) {
            add("e", domain, 1);
            add("b", domain, 1, slots);
            add("b", domain, 2, slots);
        }
        start(2, deadline_ms);
    }

    /// Records the time of the last start of a run at the instance.
    void record_last_run(const instance_id& at) {
        fleet.observe_runs(
            [this, at](const instance_id& where, const http_request&, const call_context&) {
                if (where == at) {
                    last_run = fleet.clock().now();
                }
            });
    }

    time_point last_run;
};

const instance_id b1("b-d1-1");

} // namespace

TEST_CASE("an instance listed as leaving runs no call 3 s later, even if the domains are cut off") {
    leaving_site site;
    site.record_last_run(b1);
    call_counts counts;
    for (const auto* edge : {"e-d1-1", "e-d2-1"}) {
        site.load(instance_id(edge), "b", "/x", 200, 12s, counts);
    }
    // The edge of d1 is cut off from the other domain before the list changes.
    site.run_for(1s);
    site.fleet.cut("d1", "d2");
    site.run_for(1s);
    site.fleet.publish_members({b1});
    const auto listed = site.fleet.clock().now();
    site.run_for(12s);
    CHECK(site.last_run - listed < 3s);
    CHECK(counts.completed == counts.sent);
}

TEST_CASE("callers' nodes and neighbours are notified of a stop, and no call is lost to it") {
    leaving_site site;
    site.record_last_run(b1);
    call_counts counts;
    for (const auto* edge : {"e-d1-1", "e-d2-1"}) {
        site.load(instance_id(edge), "b", "/x", 200, 5s, counts);
    }
    site.run_for(1s);
    site.fleet.stop(b1);
    const auto stopped = site.fleet.clock().now();
    site.run_for(6s);
    CHECK(counts.completed == counts.sent);
    CHECK(site.last_run - stopped < 100ms);
    CHECK_FALSE(site.fleet.is_running(b1));
}

TEST_CASE("a stop sends a bounded number of messages, and the notice reaches every node") {
    test_site site(work_of);
    for (int i = 1; i <= 60; ++i) {
        site.add("b", i % 2 == 0 ? "d1" : "d2", i);
    }
    site.start();
    std::map<instance_id, int> sent;
    std::set<instance_id> notified;
    site.fleet.observe_actions([&](const instance_id& at, const action& what) {
        const auto* message = std::get_if<send_control>(&what);
        if (message != nullptr && std::holds_alternative<leaving_notice>(message->message)) {
            ++sent[at];
            notified.insert(message->to);
        }
    });
    site.fleet.stop(instance_id("b-d1-2"));
    site.run_for(1s);
    for (const auto& [at, count] : sent) {
        CHECK(count <= 6);
    }
    CHECK(notified.size() >= 59);
}

TEST_CASE("a stop cancels nothing in flight, including calls of the local target") {
    test_site site(work_of);
    site.add("e", "d1", 1);
    site.add("a", "d1", 1);
    site.add("b", "d1", 1);
    site.start(0, 20000);
    call_counts counts;
    site.send(instance_id("e-d1-1"), "a", "/long", counts);
    site.run_for(100ms);
    site.fleet.stop(instance_id("a-d1-1"));
    call_counts refused;
    site.send(instance_id("a-d1-1"), "b", "/x", refused);
    site.run_for(25s);
    CHECK(counts.completed == 1);
    CHECK(refused.not_run == 1);
    CHECK_FALSE(site.fleet.is_running(instance_id("a-d1-1")));
}

TEST_CASE("calls queued at a stop are run within the grace period or refused as not run") {
    leaving_site site(1, 60000);
    site.record_last_run(b1);
    call_counts counts;
    for (int i = 0; i < 8; ++i) {
        site.send(instance_id("e-d1-1"), "b", "/long", counts);
    }
    site.run_for(100ms);
    site.fleet.stop(b1);
    const auto stopped = site.fleet.clock().now();
    site.run_for(60s);
    CHECK(site.last_run - stopped <= 3s);
    CHECK(counts.unknown == 0);
    CHECK(counts.completed + counts.not_run == 8);
}

TEST_CASE("a second stop and the drain limit are logged") {
    leaving_site site(10, 60000);
    call_counts counts;
    site.send(instance_id("e-d1-1"), "b", "/long", counts);
    site.run_for(50ms);
    for (const auto& instance : site.fleet.instances()) {
        site.fleet.target(instance).set_slowness(100);
    }
    call_counts slow;
    site.send(instance_id("e-d1-1"), "b", "/long", slow);
    site.run_for(50ms);
    site.fleet.stop(instance_id("e-d1-1"));
    site.fleet.stop(instance_id("e-d1-1"));
    CHECK(site.count_records(log_event::second_stop_signal) == 1);
    site.run_for(31s);
    CHECK(site.count_records(log_event::drain_limit_reached) == 1);
}

TEST_CASE("an instance that is started again under its name is used again") {
    leaving_site site;
    site.fleet.stop(b1);
    site.run_for(1s);
    site.fleet.restart(b1);
    site.run_for(31s);
    site.record_last_run(b1);
    call_counts counts;
    site.load(instance_id("e-d1-1"), "b", "/x", 100, 1s, counts);
    const auto began = site.fleet.clock().now();
    site.run_for(2s);
    CHECK(site.last_run > began);
    CHECK(counts.completed == counts.sent);
}
