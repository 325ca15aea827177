#include <doctest/doctest.h>

#include <trefoil/proxy/registry_follower.hpp>

using namespace trefoil;

TEST_CASE("a follower reads everything, then watches from there") {
    registry_follower follower(1);
    CHECK(follower.next_step() == registry_step(read_registry{}));
    follower.record_success(18, true);
    CHECK(follower.next_step() ==
          registry_step(watch_registry{18, registry_follower::max_watch_wait}));
}

TEST_CASE("an empty answer does not move the revision, since the watch may have missed changes") {
    registry_follower follower(1);
    follower.record_success(18, true);
    follower.record_success(25, false);
    CHECK(follower.next_step() ==
          registry_step(watch_registry{18, registry_follower::max_watch_wait}));
    follower.record_success(25, true);
    CHECK(follower.next_step() ==
          registry_step(watch_registry{25, registry_follower::max_watch_wait}));
}

TEST_CASE("after a failure everything is read again, after a bounded pause with jitter") {
    registry_follower follower(1);
    follower.record_success(18, true);
    for (int failure = 0; failure < 10; ++failure) {
        follower.record_failure(registry_error::unreachable);
        const auto step = follower.next_step();
        REQUIRE(std::holds_alternative<delay_next_request>(step));
        CHECK(std::get<delay_next_request>(step).delay >= 50ms);
        CHECK(std::get<delay_next_request>(step).delay <= 600ms);
        CHECK(follower.next_step() == registry_step(read_registry{}));
    }
    CHECK(follower.is_failing());
    follower.record_success(30, true);
    CHECK_FALSE(follower.is_failing());
}

TEST_CASE("everything is read again without a delay when the store has dropped the history") {
    registry_follower follower(1);
    follower.record_success(18, true);
    follower.record_failure(registry_error::history_gone);
    CHECK(follower.next_step() == registry_step(read_registry{}));
}

TEST_CASE("the revision never decreases") {
    registry_follower follower(1);
    follower.record_success(18, true);
    follower.record_success(12, true);
    CHECK(follower.next_step() ==
          registry_step(watch_registry{18, registry_follower::max_watch_wait}));
}

TEST_CASE("a watch that returned changes is followed by the coalescing delay") {
    registry_follower follower(1, 250ms);
    follower.record_success(18, true);
    CHECK(follower.next_step() ==
          registry_step(watch_registry{18, registry_follower::max_watch_wait}));
    follower.record_success(19, true);
    CHECK(follower.next_step() == registry_step(delay_next_request{250ms}));
    CHECK(follower.next_step() ==
          registry_step(watch_registry{19, registry_follower::max_watch_wait}));
    follower.record_success(19, false);
    CHECK(follower.next_step() ==
          registry_step(watch_registry{19, registry_follower::max_watch_wait}));
    follower.set_coalescing_delay(900ms);
    follower.record_success(20, true);
    CHECK(follower.next_step() == registry_step(delay_next_request{900ms}));
}

TEST_CASE("the delay between watches takes less than half of the drain and configuration times") {
    CHECK(watch_coalescing_delay(2s, 2s, false) == 900ms);
    CHECK(watch_coalescing_delay(5s, 1s, false) == 450ms);
    CHECK(watch_coalescing_delay(400ms, 2s, false) == 180ms);
    CHECK(watch_coalescing_delay(2s, 2s, true) == 250ms);
    CHECK(watch_coalescing_delay(400ms, 2s, true) == 180ms);
}
