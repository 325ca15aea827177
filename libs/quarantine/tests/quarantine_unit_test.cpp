#include <doctest/doctest.h>

#include <trefoil/quarantine/quarantine.hpp>

using namespace trefoil;

namespace {

constexpr fingerprint culprit = 100;

struct gate {
    quarantine q{quarantine_settings{}, 1};
    time_point now{10s};
    std::uint64_t last_call = 0;

    call_id run(fingerprint request, bool is_flagged = false) {
        const call_id call{++last_call};
        REQUIRE(q.arrive(now, call, request, is_flagged) == gate_verdict::pass);
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

TEST_CASE("what is in flight at a crash is suspected and told together") {
    gate g;
    g.run(1);
    g.run(2);
    g.crash();
    CHECK(g.q.state(g.now, 1) == suspicion::suspected);
    CHECK(g.notice(suspicion::suspected).fingerprints.size() == 2);
}

TEST_CASE("a request that ran to its end lately is not suspected") {
    gate g;
    g.q.ended(g.now, g.run(1), run_end::completed);
    g.run(1);
    g.run(culprit);
    g.crash();
    CHECK_FALSE(g.q.state(g.now, 1));
    CHECK(g.q.state(g.now, culprit) == suspicion::suspected);
}

TEST_CASE("a suspect runs alone among suspects and is cleared by a good run") {
    gate g;
    g.run(1);
    g.run(2);
    g.crash();
    const auto trial = g.run(1);
    CHECK(g.q.arrive(g.now, {50}, 2, false) == gate_verdict::hold);
    CHECK(g.q.arrive(g.now, {51}, 3, false) == gate_verdict::pass);
    CHECK(g.q.take_changes(g.now).empty());
    g.q.ended(g.now, trial, run_end::completed);
    CHECK_FALSE(g.q.state(g.now, 1));
    const std::vector<gate_change> released = {{{50}, gate_verdict::pass}};
    CHECK(g.q.take_changes(g.now) == released);
}

TEST_CASE("the second crash convicts the only suspect in flight and clears the others") {
    gate g;
    g.run(1);
    g.run(culprit);
    g.crash();
    g.run(culprit);
    g.run(3);
    g.crash();
    CHECK(g.q.state(g.now, culprit) == suspicion::convicted);
    CHECK_FALSE(g.q.state(g.now, 1));
    CHECK_FALSE(g.q.state(g.now, 3));
    CHECK(g.q.arrive(g.now, {50}, culprit, false) == gate_verdict::refuse);
    g.now += 60s;
    CHECK(g.q.state(g.now, culprit) == suspicion::suspected);
    g.now += 60s;
    CHECK_FALSE(g.q.state(g.now, culprit));
}

TEST_CASE("lost connections alone convict once nothing is left in flight beside them") {
    gate g;
    const auto first = g.run(culprit);
    g.q.ended(g.now, first, run_end::lost);
    g.now += 2s;
    const auto beside = g.run(1);
    const auto second = g.run(culprit);
    g.now += 1ms;
    g.q.ended(g.now, second, run_end::lost);
    CHECK(g.q.state(g.now, culprit) == suspicion::suspected);
    g.q.ended(g.now, beside, run_end::lost);
    CHECK(g.q.state(g.now, culprit) == suspicion::convicted);
    CHECK_FALSE(g.q.state(g.now, 1));
}

TEST_CASE("a lost connection beside calls that complete convicts nothing") {
    gate g;
    g.q.ended(g.now, g.run(culprit), run_end::lost);
    g.now += 2s;
    const auto beside = g.run(1);
    const auto second = g.run(culprit);
    g.now += 1ms;
    g.q.ended(g.now, second, run_end::lost);
    g.q.ended(g.now, beside, run_end::completed);
    CHECK(g.q.state(g.now, culprit) == suspicion::suspected);
}

TEST_CASE("a run that its caller gave up still counts when the target dies") {
    gate g;
    g.q.ended(g.now, g.run(culprit), run_end::given_up);
    g.crash();
    CHECK(g.q.state(g.now, culprit) == suspicion::suspected);
}

TEST_CASE("a waiting call is pulled back when its request becomes known") {
    gate g;
    REQUIRE(g.q.arrive(g.now, {50}, 7, false) == gate_verdict::pass);
    g.q.heard(g.now, {{7}, suspicion::convicted, 60s, 9});
    const std::vector<gate_change> refused = {{{50}, gate_verdict::refuse}};
    CHECK(g.q.take_changes(g.now) == refused);
}

TEST_CASE("news is passed on once, and a clearing outlives a late suspicion") {
    gate g;
    const suspect_notice suspicion_news{{7}, suspicion::suspected, 60s, 9};
    g.q.heard(g.now, suspicion_news);
    CHECK(g.notice(suspicion::suspected) == suspicion_news);
    g.q.heard(g.now, suspicion_news);
    CHECK(g.notice(suspicion::suspected).fingerprints.empty());
    g.q.heard(g.now, {{7}, suspicion::cleared, 60s, 0});
    g.q.heard(g.now, suspicion_news);
    CHECK_FALSE(g.q.state(g.now, 7));
}

TEST_CASE("a conviction that is heard clears the others of the same crash") {
    gate g;
    g.q.heard(g.now, {{7, 8}, suspicion::suspected, 60s, 9});
    g.q.heard(g.now, {{7}, suspicion::convicted, 60s, 9});
    CHECK(g.q.state(g.now, 7) == suspicion::convicted);
    CHECK_FALSE(g.q.state(g.now, 8));
}

TEST_CASE("memory is bounded") {
    quarantine_settings settings;
    settings.max_entries = 10;
    quarantine q(settings, 1);
    for (fingerprint i = 0; i < 100; ++i) {
        q.heard(time_point(1s), {{i}, suspicion::suspected, 60s, i + 1});
    }
    CHECK(q.size() == 10);
}
