#include <doctest/doctest.h>

#include <vector>

#include <trefoil/admission/admission.hpp>
#include <trefoil/admission/rate_limiter.hpp>

using namespace trefoil;

namespace {

/// Dispatches as many calls as the limiter admits, for the given time.
std::vector<time_point> saturate(rate_limiter& limiter, time_point from, duration span) {
    std::vector<time_point> starts;
    for (auto now = from; now < from + span; now += 1ms) {
        while (limiter.next_start() <= now) {
            limiter.record_start(now);
            starts.push_back(now);
        }
    }
    return starts;
}

std::size_t most_within(const std::vector<time_point>& starts, duration span) {
    std::size_t most = 0;
    std::size_t first = 0;
    for (std::size_t last = 0; last < starts.size(); ++last) {
        while (starts[last] - starts[first] >= span) {
            ++first;
        }
        most = std::max(most, last - first + 1);
    }
    return most;
}

} // namespace

TEST_CASE("no window of 4 s has more calls than one and a half times the limit and 5") {
    for (const double rate : {0.0, 0.3, 1.0, 2.5, 10.0, 42.3, 800.0}) {
        CAPTURE(rate);
        rate_limiter limiter;
        limiter.set_rate(rate);
        const auto starts = saturate(limiter, time_point(100s), 20s);
        CHECK(static_cast<double>(most_within(starts, 4s)) <= 1.5 * rate * 4 + 5);
        CHECK(static_cast<double>(starts.size()) >= rate * 20 * 0.95);
    }
}

TEST_CASE("a limit that ends and returns at once does not admit a second burst") {
    rate_limiter limiter;
    limiter.set_rate(20.0);
    const auto first = saturate(limiter, time_point(100s), 1ms);
    limiter.set_rate(std::nullopt);
    limiter.set_rate(20.0);
    CHECK(saturate(limiter, time_point(100s) + 1ms, 1ms).empty());
    CHECK(first.size() == 6);
}

TEST_CASE("without a limit each call may be dispatched at once") {
    rate_limiter limiter;
    limiter.record_start(time_point(100s));
    CHECK(limiter.next_start() <= time_point(100s));
}

TEST_CASE("calls beyond a target's limit wait and are refused before their wait is used up") {
    admission_settings settings;
    settings.slots = 100;
    settings.connections = 100;
    settings.policy.level = false;
    settings.policy.wait_refusal = true;
    admission admitter(settings);
    admitter.set_rate_limit(10.0);
    const time_point now(100s);
    std::uint32_t queued = 0;
    std::uint32_t refused = 0;
    for (std::uint64_t i = 1; i <= 30; ++i) {
        admission_request offered{call_id{i}, "kind", 0, now + 2s, 100};
        offered.max_wait = 500ms;
        const auto verdict = admitter.offer(now, offered);
        verdict == refusal::none ? ++queued : ++refused;
        admitter.advance(now);
    }
    // The burst of 250 ms starts at once. A longer queue than that would not help the target.
    CHECK(admitter.load().in_flight == 3);
    CHECK(admitter.load().queued <= 3);
    CHECK(refused >= 24);
    REQUIRE(admitter.next_deadline().has_value());
    CHECK(*admitter.next_deadline() <= now + 100ms);
    CHECK(admitter.advance(now + 100ms).size() == 1);
}

TEST_CASE("the load of a target with a limit shows how few calls it has room for") {
    admission_settings settings;
    settings.slots = 100;
    settings.connections = 100;
    admission admitter(settings);
    const time_point now(100s);
    REQUIRE(admitter.offer(now, {call_id{1}, "kind", 0, now + 2s, 100}) == refusal::none);
    admitter.advance(now);
    admitter.finished(now, call_id{1}, {100ms, service_status::answered});
    admitter.set_rate_limit(50.0);
    CHECK(admitter.load().limit == 5);
    admitter.set_rate_limit(std::nullopt);
    CHECK(admitter.load().limit == 100);
}
