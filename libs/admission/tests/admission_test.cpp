#include <doctest/doctest.h>

#include <trefoil/admission/admission.hpp>
#include <trefoil/admission/admission_position.hpp>

using namespace trefoil;

namespace {

constexpr std::uint32_t slots = 4;

admission_settings small_target_settings() {
    admission_settings settings;
    settings.slots = slots;
    settings.connections = 100;
    return settings;
}

/// An admission instance whose clock is set by the test.
struct admission_fixture {
    admission admitter;
    time_point now{100s};
    std::uint64_t last_call = 0;

    explicit admission_fixture(admission_settings settings = small_target_settings())
        : admitter(settings) {}

    call_id offer(std::uint32_t position, duration remaining = 1s, refusal expected = refusal::none,
                  std::uint32_t kind_limit = 100) {
        const call_id call{++last_call};
        CHECK(admitter.offer(now, {call, "kind", position, now + remaining, kind_limit}) ==
              expected);
        return call;
    }

    std::vector<call_id> dispatched() {
        std::vector<call_id> calls;
        for (const auto& change : admitter.advance(now)) {
            if (change.reason == refusal::none) {
                calls.push_back(change.call);
            }
        }
        return calls;
    }

    void finish(call_id call, duration took = 10ms, service_status end = service_status::answered) {
        admitter.finished(now, call, {took, end});
    }
};

std::vector<call_id> fill_slots(admission_fixture& fixture) {
    for (std::uint32_t i = 0; i < slots; ++i) {
        fixture.offer(0);
    }
    return fixture.dispatched();
}

} // namespace

TEST_CASE("no more calls are in flight than the target has slots") {
    admission_fixture fixture;
    CHECK(fill_slots(fixture).size() == slots);
    fixture.offer(0);
    CHECK(fixture.dispatched().empty());
    CHECK(fixture.admitter.load() == load_report{slots, 1, slots});
}

TEST_CASE("the most important call is dispatched first, regardless of the order of arrival") {
    admission_fixture fixture;
    const auto running = fill_slots(fixture);
    fixture.offer(500);
    const auto urgent = fixture.offer(3);
    fixture.finish(running.front());
    CHECK(fixture.dispatched() == std::vector{urgent});
}

TEST_CASE("a full queue refuses the least important call") {
    admission_fixture fixture;
    fill_slots(fixture);
    const auto least = fixture.offer(2000);
    for (std::uint32_t i = 0; i < slots; ++i) {
        fixture.offer(5);
    }
    const auto changes = fixture.admitter.advance(fixture.now);
    CHECK(changes == std::vector<admission_decision>{{least, refusal::overload}});
}

TEST_CASE("a call that can't finish in time is refused at once") {
    admission_fixture fixture;
    const auto running = fill_slots(fixture);
    fixture.finish(running.front(), 300ms);
    fixture.offer(0, 200ms, refusal::deadline);
    fixture.offer(0, 400ms);
}

TEST_CASE("a kind that is refused for its deadline is tried again") {
    admission_fixture fixture;
    const auto running = fill_slots(fixture);
    fixture.finish(running.front(), 300ms);
    fixture.now += 2s;
    fixture.offer(0, 200ms);
}

TEST_CASE("a call that expires in the queue is not dispatched") {
    admission_fixture fixture;
    const auto running = fill_slots(fixture);
    const auto late = fixture.offer(0, 50ms);
    fixture.now += 60ms;
    fixture.finish(running.front());
    CHECK(fixture.admitter.advance(fixture.now) ==
          std::vector<admission_decision>{{late, refusal::deadline}});
}

TEST_CASE("a withdrawn call is not dispatched") {
    admission_fixture fixture;
    const auto running = fill_slots(fixture);
    const auto call = fixture.offer(0);
    CHECK(fixture.admitter.withdraw(call));
    fixture.finish(running.front());
    CHECK(fixture.dispatched().empty());
    CHECK_FALSE(fixture.admitter.next_deadline());
}

TEST_CASE("a call of a kind at its limit waits, and a limit of zero refuses it") {
    admission_fixture fixture;
    fixture.offer(0, 1s, refusal::none, 1);
    fixture.offer(0, 1s, refusal::none, 1);
    CHECK(fixture.dispatched().size() == 1);
    fixture.offer(0, 1s, refusal::kind_limit, 0);
}

TEST_CASE("a restarted target gets few calls, then twice as many") {
    auto settings = small_target_settings();
    settings.slots = 32;
    admission_fixture fixture(settings);
    fixture.admitter.target_changed(fixture.now, false);
    fixture.offer(0, 1s, refusal::target_down);
    fixture.admitter.target_changed(fixture.now, true);
    for (int i = 0; i < 30; ++i) {
        fixture.offer(0);
    }
    const auto first = fixture.dispatched();
    CHECK(first.size() == 4);
    for (const auto call : first) {
        fixture.finish(call);
    }
    CHECK(fixture.dispatched().size() == 8);
}

TEST_CASE("the limit of a target that sheds falls to one call, never to none") {
    admission_fixture fixture;
    for (int i = 0; i < 100; ++i) {
        const auto call = fixture.offer(0);
        CHECK(fixture.dispatched().size() == 1);
        fixture.finish(call, 1ms, service_status::shed);
        fixture.now += 200ms;
    }
    CHECK(fixture.admitter.load().limit == 1);
}

TEST_CASE("abandoned calls and application errors do not change the limit") {
    admission_fixture fixture;
    for (const auto end : {service_status::abandoned, service_status::application_error}) {
        const auto call = fixture.offer(0);
        CHECK(fixture.dispatched().size() == 1);
        fixture.finish(call, 1ms, end);
        fixture.now += 200ms;
    }
    CHECK(fixture.admitter.load().limit == slots);
}

TEST_CASE("without the limit every call is dispatched at once") {
    auto settings = small_target_settings();
    settings.policy = unlimited_admission;
    admission_fixture fixture(settings);
    for (int i = 0; i < 50; ++i) {
        fixture.offer(0);
    }
    CHECK(fixture.dispatched().size() == 50);
}

TEST_CASE("a queue counts as standing only after it was non-empty without interruption") {
    admission_fixture fixture;
    auto running = fill_slots(fixture);
    const auto step = [&] { fixture.now += admission::standing_time / 2; };
    fixture.offer(700);
    fixture.dispatched();
    CHECK_FALSE(fixture.admitter.standing_position(fixture.now).has_value());
    step();
    fixture.offer(300);
    fixture.dispatched();
    step();
    CHECK(fixture.admitter.standing_position(fixture.now) == 700);
    // Both calls are dispatched, so the queue is empty until the next offer.
    fixture.finish(running[0]);
    fixture.finish(running[1]);
    CHECK(fixture.dispatched().size() == 2);
    CHECK_FALSE(fixture.admitter.standing_position(fixture.now).has_value());
    fixture.offer(700);
    fixture.dispatched();
    step();
    CHECK_FALSE(fixture.admitter.standing_position(fixture.now).has_value());
}
