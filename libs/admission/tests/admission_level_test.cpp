#include <doctest/doctest.h>

#include <trefoil/admission/admission_level.hpp>
#include <trefoil/admission/chain_levels.hpp>
#include <trefoil/base/random.hpp>

using namespace trefoil;

namespace {

constexpr std::uint32_t slots = 10;
constexpr duration service_time = 100ms;
constexpr duration tick = 10ms;

/// Simulates a target that finishes ten calls per 100 ms under an equal load of two priorities.
struct loaded_target {
    admission_level level{0.5};
    random_source random{7};
    time_point now{100s};
    double queue = 0;
    double offered = 0;

    void run(duration time, double calls_in_100ms) {
        for (const auto end = now + time; now < end; now += tick) {
            offered += calls_in_100ms / 10;
            for (; offered >= 1; offered -= 1) {
                const std::uint64_t priority = random.below(2) == 0 ? 1 : 5;
                const auto position = static_cast<std::uint32_t>(
                    priority * positions_per_priority + random.below(positions_per_priority));
                level.offered(position);
                queue += position < level.threshold() ? 1 : 0;
            }
            const double finished = std::min(queue, 1.0);
            queue = std::min(queue - finished, 2.0 * slots);
            if (finished > 0) {
                level.finished(service_time);
            }
            const auto waiting = static_cast<std::uint32_t>(queue);
            const auto in_flight = finished > 0 ? slots : 0;
            level.update(now, {in_flight, waiting, slots});
        }
    }
};

std::uint32_t position_in_priority(std::uint32_t priority, double share = 0) {
    return static_cast<std::uint32_t>((priority + share) * positions_per_priority);
}

} // namespace

TEST_CASE("without pressure every position is admitted") {
    loaded_target target;
    target.run(5s, 8);
    CHECK(target.level.threshold() == admit_all);
}

TEST_CASE("under pressure the lower priority is shed down to the capacity of the target") {
    loaded_target target;
    target.run(1s, 8);
    target.run(4s, 16);
    CHECK(target.level.threshold() > position_in_priority(5));
    CHECK(target.level.threshold() < position_in_priority(5, 0.7));
}

TEST_CASE("under a heavier overload the higher priority is shed in part too") {
    loaded_target target;
    target.run(4s, 40);
    CHECK(target.level.threshold() > position_in_priority(1, 0.3));
    CHECK(target.level.threshold() < position_in_priority(1, 0.8));
}

TEST_CASE("every position is admitted again soon after the surge") {
    loaded_target target;
    target.run(4s, 30);
    CHECK(target.level.threshold() < admit_all);
    target.run(2s, 5);
    CHECK(target.level.threshold() == admit_all);
}

TEST_CASE("a higher recovery speed admits every position sooner after an overload") {
    const auto time_to_recover = [](double speed) {
        loaded_target target;
        target.level = admission_level(speed);
        target.run(4s, 30);
        const auto end = target.now;
        while (target.level.threshold() < admit_all && target.now - end < 20s) {
            target.run(100ms, 5);
        }
        return target.now - end;
    };
    CHECK(time_to_recover(1) < time_to_recover(0));
}

TEST_CASE("a reported level applies only to entry calls of its service and kind") {
    downstream_levels levels(0.5);
    const time_point now{1s};
    levels.record(now, call_origin::entry_caller, service_name("a"), {"read", 700});
    CHECK(levels.entry_threshold(now, service_name("a"), "read") == 700);
    CHECK(levels.entry_threshold(now, service_name("b"), "read") == admit_all);
    CHECK(levels.entry_threshold(now, service_name("a"), "write") == admit_all);
    CHECK(levels.lowest_threshold(now, "read") == admit_all);
}

TEST_CASE("the lowest level of the downstream services applies") {
    downstream_levels levels(0.5);
    const time_point now{1s};
    levels.record(now, call_origin::local_target, service_name("a"), {"read", 700});
    levels.record(now, call_origin::local_target, service_name("b"), {"read", 300});
    CHECK(levels.lowest_threshold(now, "read") == 300);
}

TEST_CASE("a level that is not reported again rises until every position is admitted") {
    downstream_levels levels(0.5);
    const time_point now{1s};
    levels.record(now, call_origin::local_target, service_name("a"), {"read", 1});
    CHECK(levels.lowest_threshold(now + 400ms, "read") == 1);
    CHECK(levels.lowest_threshold(now + 1s, "read") > 100);
    CHECK(levels.lowest_threshold(now + 3s, "read") == admit_all);
}

TEST_CASE("a level is reported to a peer at most every 250 ms, and its end is reported too") {
    level_reports reports;
    const incarnation_id peer{7};
    time_point now{1s};
    reports.called(peer, "read", 2);
    CHECK(reports.report(now, peer, [](const std::string&) { return admit_all; }).empty());
    now += 20ms;
    CHECK(reports.is_due(now, peer));
    const auto reported = reports.report(now, peer, [](const std::string&) { return 600U; });
    CHECK(reported == std::vector<kind_threshold>{{"read", 600}});
    CHECK_FALSE(reports.is_due(now + 249ms, peer));
    now += 250ms;
    CHECK(reports.is_due(now, peer));
    const auto ended = reports.report(now, peer, [](const std::string&) { return 768U; });
    CHECK(ended == std::vector<kind_threshold>{{"read", admit_all}});
}
