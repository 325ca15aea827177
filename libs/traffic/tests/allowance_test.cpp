#include <doctest/doctest.h>

#include <array>
#include <vector>

#include <trefoil/base/random.hpp>
#include <trefoil/traffic/call_tree.hpp>
#include <trefoil/traffic/downstream_limiter.hpp>
#include <trefoil/traffic/fleet_retry_limiter.hpp>
#include <trefoil/traffic/returning_callers.hpp>
#include <trefoil/traffic/usable_slots.hpp>

using namespace trefoil;

namespace {

const service_name service("s");
constexpr fleet_retry_bound bound{0.2, 10s, 40};

} // namespace

TEST_CASE("nodes that use their whole retry allowance stay within the fleet-wide bound") {
    constexpr std::size_t nodes = 12;
    std::vector<fleet_retry_limiter> fleet(nodes, fleet_retry_limiter(bound));
    for (auto& node : fleet) {
        node.set_nodes(nodes);
    }
    random_source random(3);
    std::vector<time_point> requests;
    std::vector<time_point> retries;
    for (int i = 0; i < 40'000; ++i) {
        const time_point now(1000s + i * 1ms);
        auto& node = fleet[random.below(nodes)];
        node.record_request(now, service);
        requests.push_back(now);
        if (node.take(now, service, 0, 0)) {
            retries.push_back(now);
        }
    }
    const auto count = [](const std::vector<time_point>& all, time_point from) {
        return std::count_if(all.begin(), all.end(),
                             [&](time_point at) { return at >= from && at < from + 10s; });
    };
    for (int start = 0; start < 30; ++start) {
        const time_point from(1000s + start * 1s);
        const double allowed =
            bound.ratio * static_cast<double>(count(requests, from)) + bound.slack;
        CHECK(static_cast<double>(count(retries, from)) <= allowed);
    }
    CHECK(retries.size() > requests.size() / 10);
}

TEST_CASE("retries made upstream use the allowance") {
    fleet_retry_limiter node(bound);
    const time_point now(1000s);
    for (int i = 0; i < 100; ++i) {
        node.record_request(now, service);
        node.record_upstream_retry(now, service);
    }
    CHECK_FALSE(node.take(now, service, 0, 0));
}

// A service refuses 30 % of its calls for 20 s. A quarter of the whole requests has the highest
// priority. Each whole request makes four calls to the service and fails with the first refused
// call that may not be retried.
TEST_CASE("while many calls fail, the most important whole requests get their retries") {
    fleet_retry_limiter node(bound);
    for (int i = 0; i < 8000; ++i) {
        node.record_request(time_point(990s + i * 1250us), service);
    }
    random_source random(5);
    std::array<int, 2> started{};
    std::array<int, 2> finished{};
    constexpr int calls_each = 4;
    for (int i = 0; i < 4000; ++i) {
        const time_point now(1000s + i * 5ms);
        const bool is_important = i % 4 == 0;
        const std::uint32_t priority = is_important ? 0 : 2;
        const auto request_bucket = static_cast<std::uint32_t>(random.below(request_bucket_count));
        bool succeeds = true;
        for (int call = 0; call < calls_each && succeeds; ++call) {
            node.record_request(now, service);
            const bool fails_first = random.below(10) < 3;
            succeeds = !fails_first || node.take(now, service, priority, request_bucket);
        }
        const auto kind = is_important ? 0U : 1U;
        ++started[kind];
        finished[kind] += succeeds ? 1 : 0;
    }
    CHECK(finished[0] > started[0] * 0.95);
    CHECK(finished[1] > 0);
}

TEST_CASE("during a short failure all priorities get retries") {
    fleet_retry_limiter node(bound);
    const time_point now(1000s);
    for (int i = 0; i < 200; ++i) {
        node.record_request(now - 1s, service);
    }
    for (int i = 0; i < 10; ++i) {
        CHECK(node.take(now, service, 3, request_bucket_count - 1));
    }
}

TEST_CASE("a retrying caller takes precedence over new ones") {
    returning_callers callers;
    const time_point now(1000s);
    CHECK(callers.shedding_rank(now, "r", 100, 5s) == 100);
    CHECK(callers.shedding_rank(now, "r", 100, 4990ms) == 100);
    CHECK(callers.shedding_rank(now, "r", 100, 4s) == 25);
    CHECK(callers.shedding_rank(now, "other", 100, 4s) == 100);
}

TEST_CASE("a shorter caller timeout is not taken for retries once the longer one has expired") {
    returning_callers callers;
    time_point now(1000s);
    callers.shedding_rank(now, "r", 100, 5s);
    now += 11s;
    CHECK(callers.shedding_rank(now, "r", 100, 2s) == 100);
    CHECK(callers.shedding_rank(now, "r", 100, 2s) == 100);
}

TEST_CASE("one slot in twenty is left free") {
    CHECK(usable_slots(1) == 1);
    CHECK(usable_slots(2) == 1);
    CHECK(usable_slots(19) == 18);
    CHECK(usable_slots(29) == 27);
    CHECK(usable_slots(215) == 204);
}

TEST_CASE("a retry that reached no target is refunded") {
    fleet_retry_limiter node({0, 10s, 2});
    const time_point now(1000s);
    CHECK(node.take(now, service, 0, 0));
    CHECK_FALSE(node.take(now, service, 0, 0));
    node.refund(now, service);
    CHECK(node.take(now, service, 0, 0));
}

TEST_CASE("retries outside the window do not count") {
    fleet_retry_limiter node({0, 10s, 2});
    CHECK(node.take(time_point(1000s), service, 0, 0));
    CHECK_FALSE(node.take(time_point(1009s), service, 0, 0));
    CHECK(node.take(time_point(1011s), service, 0, 0));
}

TEST_CASE("all calls of a whole request have one request bucket") {
    CHECK(request_bucket_of("ab12") == request_bucket_of("ab12.77"));
    CHECK(request_bucket_of("ab12") == request_bucket_of("ab12.77.88"));
    CHECK_FALSE(parent_request_id("ab12").has_value());
    CHECK(parent_request_id("ab12.77.88") == "ab12.77");
}

TEST_CASE("the level falls with refused calls and rises again") {
    downstream_limiter level;
    time_point now(1000s);
    CHECK(level.admits(now, "r", 2, request_bucket_count - 1));
    for (int window = 0; window < 10; ++window) {
        for (int i = 0; i < 10; ++i) {
            level.note(now, "r", 2, downstream_congestion::refused);
        }
        now += 100ms;
    }
    CHECK(level.admitted_fraction(now, "r", 2) < 0.1);
    CHECK_FALSE(level.admits(now, "r", 2, request_bucket_count / 2));
    CHECK(level.admits(now, "r", 2, 0));
    CHECK(level.admits(now, "r", 0, request_bucket_count - 1));
    CHECK(level.admits(now, "other", 2, request_bucket_count - 1));
    now += 2s;
    CHECK(level.admits(now, "r", 2, request_bucket_count - 1));
}

// A service deep in the call graph has capacity for half of the calls; each whole request makes
// five. The service admits requests in the order of their request buckets, as its node does.
TEST_CASE("with half of the downstream capacity, nearly half of the whole requests finish") {
    downstream_limiter level;
    random_source random(11);
    time_point now(1000s);
    constexpr int calls_each = 5;
    constexpr int offered = 100;
    constexpr int capacity = offered * calls_each / 2;
    int finished = 0;
    int started = 0;
    for (int window = 0; window < 200; ++window, now += 100ms) {
        std::vector<std::uint32_t> admitted;
        for (int i = 0; i < offered; ++i) {
            const auto request_bucket =
                static_cast<std::uint32_t>(random.below(request_bucket_count));
            if (level.admits(now, "r", 2, request_bucket)) {
                admitted.push_back(request_bucket);
            }
        }
        std::sort(admitted.begin(), admitted.end());
        const auto admitted_below = std::min<std::size_t>(admitted.size(), capacity / calls_each);
        for (std::size_t i = 0; i < admitted.size(); ++i) {
            level.note(now, "r", 2,
                       i < admitted_below ? downstream_congestion::clear
                                          : downstream_congestion::refused);
        }
        if (window >= 100) {
            started += static_cast<int>(admitted.size());
            finished += static_cast<int>(admitted_below);
        }
    }
    CHECK(finished > 100 * offered * 0.4);
    CHECK(finished > started * 0.85);
}
