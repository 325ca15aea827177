// Tests of the limit that a target names: two proxies, targets that name a limit in their answers.
#include <doctest/doctest.h>

#include <list>

#include <trefoil/http1/loop_timer.hpp>

#include "two_machine_site.hpp"

using namespace trefoil;

namespace {

constexpr double limit_per_second = 20;
/// More than the requests that any test has in flight, so that only the limit holds them back.
constexpr std::uint32_t slots = 200;
constexpr duration round_interval = 100ms;

/// The most requests that a target with the limit may receive within the time.
std::size_t allowed_within(duration span) {
    return static_cast<std::size_t>(1.5 * limit_per_second * to_seconds(span) + 5);
}

/// Sends `count` requests at once from the callers of the machine.
void send_burst(two_machine_site& site, std::list<reply>& replies, std::size_t machine, int count) {
    for (int i = 0; i < count; ++i) {
        site.send(replies.emplace_back(), "/read/1", {}, machine);
    }
}

void run_for(two_machine_site& site, duration span) {
    bool is_over = false;
    http1::loop_timer timer(&site.loop, [&] { is_over = true; });
    timer.start(span);
    site.run_until([&] { return is_over; });
}

void finish(two_machine_site& site, std::list<reply>& replies) {
    for (auto& one : replies) {
        REQUIRE(site.run_until([&] { return one.is_finished; }));
    }
}

} // namespace

TEST_CASE("a target does not receive more requests than the limit that it has named") {
    two_machine_site site(slots);
    site.targets[0]->rate_limit = "20";
    site.change({instance_removed{instance_id("i1")}});
    CHECK(site.ask("/read/1").status == 200);
    std::list<reply> replies;
    const auto before = site.reached(0);
    constexpr int rounds = 20;
    for (int round = 0; round < rounds; ++round) {
        send_burst(site, replies, 0, 8);
        run_for(site, round_interval);
    }
    const auto received = site.reached(0) - before;
    CHECK(received <= allowed_within(rounds * round_interval));
    // The limit is used: refusing more than the target asks for would waste its capacity.
    CHECK(static_cast<double>(received) >=
          0.8 * limit_per_second * to_seconds(rounds * round_interval));
    finish(site, replies);
    for (const auto& one : replies) {
        CHECK((one.status == 200 || !find_header(one.headers, "retry-after").empty()));
    }
}

TEST_CASE("requests beyond the limit that a target has named go to the other target") {
    two_machine_site site(slots);
    site.targets[0]->rate_limit = "20";
    CHECK(site.ask("/read/1").status == 200);
    std::list<reply> replies;
    constexpr int rounds = 20;
    for (int round = 0; round < rounds; ++round) {
        send_burst(site, replies, 0, 4);
        run_for(site, round_interval);
    }
    CHECK(site.reached(0) <= allowed_within(rounds * round_interval));
    finish(site, replies);
    CHECK(std::all_of(replies.begin(), replies.end(),
                      [](const reply& one) { return one.status == 200; }));
}

TEST_CASE("a proxy that restarts holds the limit that its target named before") {
    two_machine_site site(slots);
    site.targets[0]->rate_limit = "20";
    for (std::size_t i = 0; i < 2; ++i) {
        site.change({instance_removed{instance_id("i1")}}, i);
    }
    CHECK(site.ask("/read/1", {}, 1).status == 200);
    site.restart_node(0);
    std::list<reply> replies;
    const auto before = site.reached(0);
    send_burst(site, replies, 1, 60);
    run_for(site, 500ms);
    CHECK(site.reached(0) - before <= allowed_within(500ms));
    finish(site, replies);
}

TEST_CASE("the limit ends when the answers of the target lack it") {
    two_machine_site site(slots);
    site.targets[0]->rate_limit = "20";
    site.change({instance_removed{instance_id("i1")}});
    CHECK(site.ask("/read/1").status == 200);
    site.targets[0]->rate_limit.clear();
    CHECK(site.ask("/read/1").status == 200);
    std::list<reply> replies;
    for (int round = 0; round < 10; ++round) {
        send_burst(site, replies, 0, 8);
        run_for(site, round_interval);
    }
    finish(site, replies);
    CHECK(std::all_of(replies.begin(), replies.end(),
                      [](const reply& one) { return one.status == 200; }));
}
