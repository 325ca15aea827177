#include <doctest/doctest.h>

#include <trefoil/admission/admission.hpp>
#include <trefoil/admission/admission_position.hpp>

using namespace trefoil;

namespace {

constexpr std::uint32_t slots = 4;

admission_settings small_target() {
    admission_settings settings;
    settings.slots = slots;
    settings.connections = 100;
    return settings;
}

/// A target under a paused clock.
struct bench {
    admission admitter;
    time_point now{100s};
    std::uint64_t last = 0;

    explicit bench(admission_settings settings = small_target()) : admitter(settings) {}

    call_id offer(std::uint32_t position, duration remaining = 1s, refusal expected = refusal::none,
                  std::uint32_t kind_limit = 100) {
        const call_id call{++last};
        CHECK(admitter.offer(now, {call, "kind", position, now + remaining, kind_limit}) ==
              expected);
        return call;
    }

    std::vector<call_id> handed_on() {
        std::vector<call_id> calls;
        for (const auto& change : admitter.advance(now)) {
            if (change.reason == refusal::none) {
                calls.push_back(change.call);
            }
        }
        return calls;
    }

    void finish(call_id call, duration took = 10ms, service_end end = service_end::answered) {
        admitter.finished(now, call, {took, end});
    }
};

std::vector<call_id> fill(bench& at) {
    for (std::uint32_t i = 0; i < slots; ++i) {
        at.offer(0);
    }
    return at.handed_on();
}

} // namespace

TEST_CASE("no more calls are in flight than the target has slots") {
    bench at;
    CHECK(fill(at).size() == slots);
    at.offer(0);
    CHECK(at.handed_on().empty());
    CHECK(at.admitter.load() == load_report{slots, 1, slots});
}

TEST_CASE("the most important call is handed on first, whenever it came") {
    bench at;
    const auto running = fill(at);
    at.offer(500);
    const auto urgent = at.offer(3);
    at.finish(running.front());
    CHECK(at.handed_on() == std::vector{urgent});
}

TEST_CASE("a full queue refuses the least important call") {
    bench at;
    fill(at);
    const auto least = at.offer(2000);
    for (std::uint32_t i = 0; i < slots; ++i) {
        at.offer(5);
    }
    const auto changes = at.admitter.advance(at.now);
    CHECK(changes == std::vector<admission_change>{{least, refusal::overload}});
}

TEST_CASE("a call that can't finish in time is refused at once") {
    bench at;
    const auto running = fill(at);
    at.finish(running.front(), 300ms);
    at.offer(0, 200ms, refusal::deadline);
    at.offer(0, 400ms);
}

TEST_CASE("a kind that is refused for its deadline is tried again") {
    bench at;
    const auto running = fill(at);
    at.finish(running.front(), 300ms);
    at.now += 2s;
    at.offer(0, 200ms);
}

TEST_CASE("a call that expires in the queue is not handed on") {
    bench at;
    const auto running = fill(at);
    const auto late = at.offer(0, 50ms);
    at.now += 60ms;
    at.finish(running.front());
    CHECK(at.admitter.advance(at.now) == std::vector<admission_change>{{late, refusal::deadline}});
}

TEST_CASE("a withdrawn call is not handed on") {
    bench at;
    const auto running = fill(at);
    const auto call = at.offer(0);
    CHECK(at.admitter.withdraw(call));
    at.finish(running.front());
    CHECK(at.handed_on().empty());
    CHECK_FALSE(at.admitter.next_deadline());
}

TEST_CASE("a kind's limit holds and lets other calls pass") {
    bench at;
    at.offer(0, 1s, refusal::none, 1);
    at.offer(0, 1s, refusal::none, 1);
    CHECK(at.handed_on().size() == 1);
    at.offer(0, 1s, refusal::kind_limit, 0);
}

TEST_CASE("a target that comes back gets few calls, then twice as many") {
    auto settings = small_target();
    settings.slots = 32;
    bench at(settings);
    at.admitter.target_changed(at.now, false);
    at.offer(0, 1s, refusal::target_down);
    at.admitter.target_changed(at.now, true);
    for (int i = 0; i < 30; ++i) {
        at.offer(0);
    }
    const auto first = at.handed_on();
    CHECK(first.size() == 4);
    for (const auto call : first) {
        at.finish(call);
    }
    CHECK(at.handed_on().size() == 8);
}

TEST_CASE("a target that sheds gets fewer calls, never none") {
    bench at;
    for (int i = 0; i < 100; ++i) {
        const auto call = at.offer(0);
        CHECK(at.handed_on().size() == 1);
        at.finish(call, 1ms, service_end::shed);
        at.now += 200ms;
    }
    CHECK(at.admitter.load().limit == 1);
}

TEST_CASE("cancelled calls and errors of services further down leave the limit alone") {
    bench at;
    for (const auto end : {service_end::given_up, service_end::errored}) {
        const auto call = at.offer(0);
        CHECK(at.handed_on().size() == 1);
        at.finish(call, 1ms, end);
        at.now += 200ms;
    }
    CHECK(at.admitter.load().limit == slots);
}

TEST_CASE("without the limit every call is handed on at once") {
    auto settings = small_target();
    settings.policy = no_admission;
    bench at(settings);
    for (int i = 0; i < 50; ++i) {
        at.offer(0);
    }
    CHECK(at.handed_on().size() == 50);
}

TEST_CASE("a queue stands only after calls have waited in it without a break") {
    bench at;
    auto running = fill(at);
    const auto step = [&] { at.now += admission::standing_time / 2; };
    at.offer(700);
    at.handed_on();
    CHECK_FALSE(at.admitter.standing_position(at.now).has_value());
    step();
    at.offer(300);
    at.handed_on();
    step();
    CHECK(at.admitter.standing_position(at.now) == 700);
    // Both are handed on, and the queue is empty for a moment.
    at.finish(running[0]);
    at.finish(running[1]);
    CHECK(at.handed_on().size() == 2);
    CHECK_FALSE(at.admitter.standing_position(at.now).has_value());
    at.offer(700);
    at.handed_on();
    step();
    CHECK_FALSE(at.admitter.standing_position(at.now).has_value());
}
