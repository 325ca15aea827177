#include <set>

#include <doctest/doctest.h>

#include "test_site.hpp"

using namespace trefoil;

namespace {

service_work work_of(const service_name& service, const std::string& path) {
    service_work work;
    work.compute = 10ms;
    if (service.str() == "a") {
        work.children = {{service_name("b"), "GET", path}};
    }
    return work;
}

/// Two domains, each with an edge and four instances of `b`.
struct crash_site : test_site {
    explicit crash_site(bool has_quarantine = true, std::uint64_t seed = 1)
        : test_site(work_of, seed) {
        is_quarantined = has_quarantine;
        for (const auto* domain : {"d1", "d2"}) {
            add("e", domain, 1);
            for (int i = 1; i <= 4; ++i) {
                add("b", domain, i);
            }
        }
        start();
    }

    /// Sends calls with a different path each, so that no earlier run shows that they are harmless.
    void load_harmless(double per_second, duration time, call_counts& counts) {
        const duration gap(static_cast<duration::rep>(1e6 / per_second));
        for (duration at{0}; at < time; at += gap) {
            fleet.clock().after(at, [this, &counts] {
                const auto path = "/read/" + std::to_string(++last_harmless);
                send(instance_id(last_harmless % 2 == 0 ? "e-d1-1" : "e-d2-1"), "b", path, counts);
            });
        }
    }

    /// Simulates a caller that resends the same request shortly after each response.
    void resend_continuously(const instance_id& edge, time_point until) {
        http_request request;
        request.method = "GET";
        request.path = "/crash";
        request.service = service_name("b");
        fleet.submit(edge, request, [this, edge, until](const caller_result&) {
            ++resent;
            if (fleet.clock().now() < until) {
                fleet.clock().after(5ms, [this, edge, until] { resend_continuously(edge, until); });
            }
        });
    }

    int crashes(const std::string& domain) const {
        int found = 0;
        for (const auto& [at, path] : runs) {
            found += path == "/crash" && at.str().find(domain) != std::string::npos ? 1 : 0;
        }
        return found;
    }

    int last_harmless = 0;
    int resent = 0;
};

} // namespace

TEST_CASE("a request that crashes targets and is resent continuously crashes at most two") {
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        CAPTURE(seed);
        crash_site site(true, seed);
        call_counts harmless;
        site.load_harmless(200, 20s, harmless);
        site.resend_continuously(instance_id("e-d1-1"), site.fleet.clock().now() + 20s);
        site.run_for(22s);
        CHECK(site.resent > 100);
        CHECK(site.crashes("d1") + site.crashes("d2") <= 2);
        CHECK(harmless.completed > harmless.sent * 99 / 100);
        CHECK(harmless.not_run + harmless.unknown < 20);
    }
}

TEST_CASE("without quarantine the same request crashes targets more than ten times") {
    crash_site site(false);
    call_counts harmless;
    site.load_harmless(200, 20s, harmless);
    site.resend_continuously(instance_id("e-d1-1"), site.fleet.clock().now() + 20s);
    site.run_for(22s);
    MESSAGE("without quarantine: " << site.crashes("d1") + site.crashes("d2") << " crashes, "
                                   << harmless.completed << " of " << harmless.sent
                                   << " harmless calls completed");
    CHECK(site.crashes("d1") > 10);
}

TEST_CASE("the edges of two domains and lost notices allow at most two crashes in each domain") {
    for (std::uint64_t seed = 1; seed <= 10; ++seed) {
        CAPTURE(seed);
        crash_site site(true, seed);
        site.fleet.network().control_loss = 0.2;
        site.fleet.network().control_jitter = 3ms;
        site.resend_continuously(instance_id("e-d1-1"), site.fleet.clock().now() + 20s);
        site.run_for(7ms);
        site.resend_continuously(instance_id("e-d2-1"), site.fleet.clock().now() + 20s);
        site.run_for(22s);
        CHECK(site.crashes("d1") <= 2);
        CHECK(site.crashes("d2") <= 2);
    }
}

TEST_CASE("harmless requests that were in flight during the crash run again at once") {
    crash_site site;
    call_counts first;
    for (int i = 0; i < 8; ++i) {
        site.send(instance_id("e-d1-1"), "b", "/read/" + std::to_string(i), first);
    }
    site.send(instance_id("e-d1-1"), "b", "/crash", first);
    site.run_for(1s);
    call_counts again;
    for (int i = 0; i < 8; ++i) {
        site.send(instance_id("e-d2-1"), "b", "/read/" + std::to_string(i), again);
    }
    site.run_for(1s);
    CHECK(first.completed == 8);
    CHECK(again.completed == 8);
}
