#include <doctest/doctest.h>

#include <trefoil/quarantine/quarantine.hpp>

using namespace trefoil;

namespace {

constexpr fingerprint crashing_request = 100;

struct quarantine_fixture {
    quarantine q{quarantine_settings{}, 1};
    time_point now{10s};
    std::uint64_t last_call = 0;

    call_id run(fingerprint request, bool is_flagged = false) {
        const call_id call{++last_call};
        REQUIRE(q.arrive(now, call, request, is_flagged) == quarantine_verdict::pass);
        q.handed(now, call);
        return call;
    }

    void crash() {
        now += 1ms;
        q.target_went_down(now);
        now += 2s;
    }

    suspect_notice notice(suspicion state) {
        now += 10ms;
        for (const auto& found : q.take_notices(now)) {
            if (found.state == state) {
                return found;
            }
        }
        return {};
    }
};

} // namespace

TEST_CASE("requests in flight at a crash are suspected and reported in one notice") {
    quarantine_fixture fixture;
    fixture.run(1);
    fixture.run(2);
    fixture.crash();
    CHECK(fixture.q.state(fixture.now, 1) == suspicion::suspected);
    CHECK(fixture.notice(suspicion::suspected).fingerprints.size() == 2);
}

TEST_CASE("a recently completed request is not suspected") {
    quarantine_fixture fixture;
    fixture.q.ended(fixture.now, fixture.run(1), run_result::completed);
    fixture.run(1);
    fixture.run(crashing_request);
    fixture.crash();
    CHECK_FALSE(fixture.q.state(fixture.now, 1));
    CHECK(fixture.q.state(fixture.now, crashing_request) == suspicion::suspected);
}

TEST_CASE("one suspected request runs at a time and is cleared when it completes") {
    quarantine_fixture fixture;
    fixture.run(1);
    fixture.run(2);
    fixture.crash();
    const auto trial = fixture.run(1);
    CHECK(fixture.q.arrive(fixture.now, {50}, 2, false) == quarantine_verdict::hold);
    CHECK(fixture.q.arrive(fixture.now, {51}, 3, false) == quarantine_verdict::pass);
    CHECK(fixture.q.take_changes(fixture.now).empty());
    fixture.q.ended(fixture.now, trial, run_result::completed);
    CHECK_FALSE(fixture.q.state(fixture.now, 1));
    const std::vector<verdict_change> released = {{{50}, quarantine_verdict::pass}};
    CHECK(fixture.q.take_changes(fixture.now) == released);
}

TEST_CASE("the second crash convicts the only suspected request in flight and clears the others") {
    quarantine_fixture fixture;
    fixture.run(1);
    fixture.run(crashing_request);
    fixture.crash();
    fixture.run(crashing_request);
    fixture.run(3);
    fixture.crash();
    CHECK(fixture.q.state(fixture.now, crashing_request) == suspicion::convicted);
    CHECK_FALSE(fixture.q.state(fixture.now, 1));
    CHECK_FALSE(fixture.q.state(fixture.now, 3));
    CHECK(fixture.q.arrive(fixture.now, {50}, crashing_request, false) ==
          quarantine_verdict::refuse);
    fixture.now += 60s;
    CHECK(fixture.q.state(fixture.now, crashing_request) == suspicion::suspected);
    fixture.now += 60s;
    CHECK_FALSE(fixture.q.state(fixture.now, crashing_request));
}

TEST_CASE("lost connections alone convict a request once no concurrent call is in flight") {
    quarantine_fixture fixture;
    const auto first = fixture.run(crashing_request);
    fixture.q.ended(fixture.now, first, run_result::lost);
    fixture.now += 2s;
    const auto concurrent = fixture.run(1);
    const auto second = fixture.run(crashing_request);
    fixture.now += 1ms;
    fixture.q.ended(fixture.now, second, run_result::lost);
    CHECK(fixture.q.state(fixture.now, crashing_request) == suspicion::suspected);
    fixture.q.ended(fixture.now, concurrent, run_result::lost);
    CHECK(fixture.q.state(fixture.now, crashing_request) == suspicion::convicted);
    CHECK_FALSE(fixture.q.state(fixture.now, 1));
}

TEST_CASE("a lost connection does not convict a request if a concurrent call completes") {
    quarantine_fixture fixture;
    fixture.q.ended(fixture.now, fixture.run(crashing_request), run_result::lost);
    fixture.now += 2s;
    const auto concurrent = fixture.run(1);
    const auto second = fixture.run(crashing_request);
    fixture.now += 1ms;
    fixture.q.ended(fixture.now, second, run_result::lost);
    fixture.q.ended(fixture.now, concurrent, run_result::completed);
    CHECK(fixture.q.state(fixture.now, crashing_request) == suspicion::suspected);
}

TEST_CASE("an abandoned request that may still be running is suspected when the target crashes") {
    quarantine_fixture fixture;
    fixture.q.ended(fixture.now, fixture.run(crashing_request), run_result::abandoned);
    fixture.crash();
    CHECK(fixture.q.state(fixture.now, crashing_request) == suspicion::suspected);
}

TEST_CASE("a call that passed is refused if its request is convicted before dispatch") {
    quarantine_fixture fixture;
    REQUIRE(fixture.q.arrive(fixture.now, {50}, 7, false) == quarantine_verdict::pass);
    fixture.q.receive_notice(fixture.now, {{7}, suspicion::convicted, 60s, 9});
    const std::vector<verdict_change> refused = {{{50}, quarantine_verdict::refuse}};
    CHECK(fixture.q.take_changes(fixture.now) == refused);
}

TEST_CASE("a notice is forwarded once, and a delayed suspicion does not undo a clearing") {
    quarantine_fixture fixture;
    const suspect_notice suspected_notice{{7}, suspicion::suspected, 60s, 9};
    fixture.q.receive_notice(fixture.now, suspected_notice);
    CHECK(fixture.notice(suspicion::suspected) == suspected_notice);
    fixture.q.receive_notice(fixture.now, suspected_notice);
    CHECK(fixture.notice(suspicion::suspected).fingerprints.empty());
    fixture.q.receive_notice(fixture.now, {{7}, suspicion::cleared, 60s, 0});
    fixture.q.receive_notice(fixture.now, suspected_notice);
    CHECK_FALSE(fixture.q.state(fixture.now, 7));
}

TEST_CASE("a received conviction clears the other requests suspected for the same crash") {
    quarantine_fixture fixture;
    fixture.q.receive_notice(fixture.now, {{7, 8}, suspicion::suspected, 60s, 9});
    fixture.q.receive_notice(fixture.now, {{7}, suspicion::convicted, 60s, 9});
    CHECK(fixture.q.state(fixture.now, 7) == suspicion::convicted);
    CHECK_FALSE(fixture.q.state(fixture.now, 8));
}

TEST_CASE("the number of suspected requests is bounded") {
    quarantine_settings settings;
    settings.max_entries = 10;
    quarantine q(settings, 1);
    for (fingerprint i = 0; i < 100; ++i) {
        q.receive_notice(time_point(1s), {{i}, suspicion::suspected, 60s, i + 1});
    }
    CHECK(q.size() == 10);
}
