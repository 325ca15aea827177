#include <doctest/doctest.h>

#include "test_site.hpp"

using namespace trefoil;

namespace {

service_work work_of(const service_name&, const std::string&) {
    service_work work;
    work.compute = 10ms;
    return work;
}

/// One domain with an edge and two instances of `b`.
struct pause_site : test_site {
    explicit pause_site(int deadline_ms = 60000) : test_site(work_of) {
        add("e", "d1", 1);
        add("b", "d1", 1);
        add("b", "d1", 2);
        start(0, deadline_ms);
        fleet.observe_actions([this](const instance_id& at, const action& what) {
            if (const auto* sent = std::get_if<start_attempt>(&what)) {
                dispatched.emplace_back(at, sent->request->path);
            }
            if (const auto* written = std::get_if<write_log_record>(&what)) {
                records.emplace_back(at, written->record);
            }
        });
    }

    std::uint64_t send_cancellable(const std::string& path) {
        http_request request;
        request.method = "GET";
        request.path = path;
        request.service = service_name("b");
        return fleet.submit(instance_id("e-d1-1"), request, [](const caller_result&) {});
    }

    /// Number of attempts for the path that a node started, at its target or at another node.
    int count_dispatches(const instance_id& at, const std::string& path) const {
        int found = 0;
        for (const auto& [node, sent] : dispatched) {
            found += node == at && sent == path ? 1 : 0;
        }
        return found;
    }

    std::vector<std::pair<instance_id, std::string>> dispatched;
};

const instance_id edge("e-d1-1");
const instance_id b1("b-d1-1");
const instance_id b2("b-d1-2");

} // namespace

TEST_CASE("a node that resumes from a pause dispatches no call that was cancelled meanwhile") {
    pause_site site;
    site.fleet.pause(b1);
    site.fleet.pause(b2);
    const auto sent = site.send_cancellable("/cancelled");
    site.run_for(1s);
    site.fleet.withdraw(sent);
    site.run_for(1s);
    site.fleet.resume(b1);
    site.fleet.resume(b2);
    site.run_for(2s);
    CHECK(site.count_dispatches(b1, "/cancelled") + site.count_dispatches(b2, "/cancelled") == 0);
    CHECK(site.count_records(log_event::clock_gap) == 2);
}

TEST_CASE("an edge that resumes from a pause sends no call that was cancelled meanwhile") {
    pause_site site;
    site.fleet.pause(edge);
    const auto sent = site.send_cancellable("/cancelled");
    site.run_for(1s);
    site.fleet.withdraw(sent);
    site.run_for(1s);
    site.fleet.resume(edge);
    site.run_for(2s);
    CHECK(site.count_dispatches(edge, "/cancelled") == 0);
}

TEST_CASE("calls that are read after a pause count as received at its start") {
    pause_site site(500);
    call_counts counts;
    site.fleet.pause(edge);
    site.send(edge, "b", "/expired", counts);
    site.run_for(1s);
    site.fleet.resume(edge);
    site.run_for(1s);
    CHECK(site.count_dispatches(edge, "/expired") == 0);
    CHECK(counts.not_run == 1);
}

TEST_CASE("calls that arrive during a pause and are not cancelled are run") {
    pause_site site;
    call_counts counts;
    site.fleet.pause(b1);
    site.fleet.pause(b2);
    site.send(edge, "b", "/wanted", counts);
    site.run_for(5s);
    site.fleet.resume(b1);
    site.fleet.resume(b2);
    site.run_for(1s);
    CHECK(counts.completed == 1);
}

TEST_CASE("a target that was listed as leaving during a pause gets no call after it") {
    pause_site site;
    call_counts counts;
    site.fleet.pause(b1);
    site.fleet.pause(b2);
    for (int i = 0; i < 10; ++i) {
        site.send(edge, "b", "/late", counts);
    }
    site.run_for(1s);
    site.fleet.publish_members({b1, b2});
    site.run_for(9s);
    site.fleet.resume(b1);
    site.fleet.resume(b2);
    site.run_for(2s);
    CHECK(site.count_dispatches(b1, "/late") + site.count_dispatches(b2, "/late") == 0);
    CHECK(counts.not_run == 10);
}

TEST_CASE("a node ejects no other instance because of its own pause") {
    pause_site site(500);
    call_counts counts;
    site.load(edge, "b", "/x", 3000, 4s, counts);
    site.run_for(1s);
    site.fleet.pause(edge);
    site.run_for(2s);
    site.fleet.resume(edge);
    site.run_for(3s);
    CHECK(site.count_records(log_event::instance_ejected) == 0);
}

TEST_CASE("after a long pause the list is confirmed before a call is dispatched to the target") {
    test_site site(work_of);
    const auto caller_side = site.add("e", "d2", 1);
    const auto target_side = site.add("b", "d1", 1);
    site.fleet.network().other_domain_latency = 10ms;
    site.fleet.network().platform_latency = 25ms;
    site.start(0, 60000);
    call_counts counts;
    site.send(caller_side, "b", "/late", counts);
    site.run_for(9ms);
    site.fleet.pause(target_side);
    site.fleet.cut("d1", virtual_fleet::platform_domain);
    site.fleet.network().control_loss = 1;
    site.run_for(3s);
    site.fleet.publish_members({target_side});
    site.run_for(3s);
    site.fleet.network().control_loss = 0;
    site.fleet.heal_all();
    site.fleet.resume(target_side);
    site.run_for(3s);
    CHECK(site.runs.empty());
    CHECK(counts.not_run == 1);
}

TEST_CASE("a node that gets no confirmation of the list after a long pause continues to serve") {
    test_site site(work_of);
    const auto caller_side = site.add("e", "d1", 1);
    const auto target_side = site.add("b", "d1", 1);
    site.start(0, 60000);
    call_counts counts;
    site.send(caller_side, "b", "/x", counts);
    site.run_for(8ms);
    site.fleet.pause(target_side);
    site.fleet.cut("d1", virtual_fleet::platform_domain);
    site.fleet.network().control_loss = 1;
    site.run_for(6s);
    site.fleet.resume(target_side);
    site.run_for(1s);
    CHECK(counts.completed == 1);
}
