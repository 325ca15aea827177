#include <doctest/doctest.h>

#include <trefoil/proxy/registry_follower.hpp>

using namespace trefoil;

TEST_CASE("a follower reads everything, then watches from there") {
    registry_follower follower(1);
    CHECK(follower.next() == follow_step(read_registry{}));
    follower.succeeded(18, true);
    CHECK(follower.next() == follow_step(watch_registry{18, registry_follower::watch_wait}));
}

TEST_CASE("an empty answer does not move the revision, since the watch may have missed changes") {
    registry_follower follower(1);
    follower.succeeded(18, true);
    follower.succeeded(25, false);
    CHECK(follower.next() == follow_step(watch_registry{18, registry_follower::watch_wait}));
    follower.succeeded(25, true);
    CHECK(follower.next() == follow_step(watch_registry{25, registry_follower::watch_wait}));
}

TEST_CASE("after a failure everything is read again, after a bounded pause with jitter") {
    registry_follower follower(1);
    follower.succeeded(18, true);
    for (int failure = 0; failure < 10; ++failure) {
        follower.failed(registry_problem::unreachable);
        const auto step = follower.next();
        REQUIRE(std::holds_alternative<pause_registry>(step));
        CHECK(std::get<pause_registry>(step).time >= 50ms);
        CHECK(std::get<pause_registry>(step).time <= 600ms);
        CHECK(follower.next() == follow_step(read_registry{}));
    }
    CHECK(follower.is_lost());
    follower.succeeded(30, true);
    CHECK_FALSE(follower.is_lost());
}

TEST_CASE("everything is read again without a delay when the store has dropped the history") {
    registry_follower follower(1);
    follower.succeeded(18, true);
    follower.failed(registry_problem::history_gone);
    CHECK(follower.next() == follow_step(read_registry{}));
}

TEST_CASE("the revision never decreases") {
    registry_follower follower(1);
    follower.succeeded(18, true);
    follower.succeeded(12, true);
    CHECK(follower.next() == follow_step(watch_registry{18, registry_follower::watch_wait}));
}

TEST_CASE("a watch that returned changes is followed by the coalescing delay") {
    registry_follower follower(1, 250ms);
    follower.succeeded(18, true);
    CHECK(follower.next() == follow_step(watch_registry{18, registry_follower::watch_wait}));
    follower.succeeded(19, true);
    CHECK(follower.next() == follow_step(pause_registry{250ms}));
    CHECK(follower.next() == follow_step(watch_registry{19, registry_follower::watch_wait}));
    follower.succeeded(19, false);
    CHECK(follower.next() == follow_step(watch_registry{19, registry_follower::watch_wait}));
    follower.set_rest(900ms);
    follower.succeeded(20, true);
    CHECK(follower.next() == follow_step(pause_registry{900ms}));
}

TEST_CASE("the delay between watches takes less than half of the drain and configuration times") {
    CHECK(rest_between_watches(2s, 2s, false) == 900ms);
    CHECK(rest_between_watches(5s, 1s, false) == 450ms);
    CHECK(rest_between_watches(400ms, 2s, false) == 180ms);
    CHECK(rest_between_watches(2s, 2s, true) == 250ms);
    CHECK(rest_between_watches(400ms, 2s, true) == 180ms);
}
