#include <doctest/doctest.h>
#include <rapidcheck.h>

#include "document_fleet.hpp"

using namespace trefoil;

namespace {

/// A fleet whose nodes all hold the first published table.
struct converged_fleet : document_fleet {
    explicit converged_fleet(std::size_t nodes = 12, std::size_t domains = 3,
                             exchange_mechanisms mechanisms = {}, std::uint64_t seed = 1)
        : document_fleet(nodes, domains, mechanisms, seed) {
        publish_table(1);
        fleet.publish_members();
        time_to_all(60s);
        run(10s);
    }

    void cut_everything_from_platform(std::size_t domains) {
        for (std::size_t i = 0; i < domains; ++i) {
            fleet.cut(fmt::format("d{}", i), virtual_fleet::platform_domain);
        }
    }

    /// Number of platform calls during the given emulated time.
    std::uint64_t calls_in(duration time) {
        const auto before = fleet.platform_calls();
        run(time);
        return fleet.platform_calls() - before;
    }
};

/// Injects random faults into a fleet and then removes all of them.
class random_faults {
public:
    random_faults(document_fleet& site, std::uint64_t seed) : site_(site), random_(seed) {}

    void inject(int steps) {
        for (int i = 0; i < steps; ++i) {
            inject_one();
            site_.run(duration(static_cast<duration::rep>(random_.below(3'000'000))));
        }
    }

    void heal() {
        site_.fleet.heal_all();
        site_.fleet.network() = network_settings{};
        site_.fleet.set_platform(platform_mode::serving);
        for (const auto& node : site_.fleet.instances()) {
            site_.fleet.resume(node);
            if (!site_.fleet.is_running(node)) {
                site_.fleet.restart(node);
            }
        }
    }

private:
    instance_id random_node() {
        const auto nodes = site_.fleet.instances();
        return nodes[random_.below(nodes.size())];
    }

    std::string random_domain() {
        const auto index = random_.below(4);
        return index == 3 ? virtual_fleet::platform_domain : fmt::format("d{}", index);
    }

    void inject_one() {
        auto& fleet = site_.fleet;
        switch (random_.below(12)) {
        case 0:
            return fleet.cut(random_domain(), random_domain());
        case 1:
            return fleet.heal(random_domain(), random_domain());
        case 2:
            return fleet.set_platform(static_cast<platform_mode>(random_.below(5)));
        case 3:
            return fleet.pause(random_node());
        case 4:
            return fleet.resume(random_node());
        case 5:
            return fleet.kill(random_node());
        case 6:
            return fleet.restart(random_node());
        case 7:
            return restart_all();
        case 8:
            fleet.network().control_loss = random_.unit() / 2;
            fleet.network().control_duplicates = random_.unit() / 2;
            fleet.network().control_jitter =
                duration(static_cast<duration::rep>(random_.below(2'000'000)));
            return;
        case 9:
            return fleet.publish_members();
        default:
            return site_.publish_table(random_.below(1000), 2 + random_.below(30));
        }
    }

    void restart_all() {
        for (const auto& node : site_.fleet.instances()) {
            site_.fleet.restart(node);
        }
    }

    document_fleet& site_;
    random_source random_;
};

} // namespace

TEST_CASE("through faults of every kind revisions never decrease, and all nodes agree soon after "
          "the heal") {
    CHECK(rc::check([] {
        const auto seed = *rc::gen::arbitrary<std::uint64_t>();
        document_fleet site(9, 3, {}, seed);
        site.publish_table(1);
        site.fleet.publish_members();
        random_faults faults(site, seed);
        faults.inject(25);
        faults.heal();
        site.run(20s);
        RC_ASSERT(!site.has_revision_decreased);
        RC_ASSERT(site.all_agree());
    }));
}

TEST_CASE("a change reaches every node in every domain in less than a second") {
    converged_fleet site(60, 3);
    site.publish_table(2);
    CHECK(site.time_to_all(30s) < 1s);
}

TEST_CASE("a change whose messages are lost is repaired by a comparison") {
    converged_fleet site(60, 2);
    site.fleet.network().control_loss = 1.0;
    site.publish_table(2);
    site.run(1s);
    REQUIRE_FALSE(site.all_agree());
    site.fleet.network().control_loss = 0;
    CHECK(site.time_to_all(30s) < 15s);
}

TEST_CASE("a domain that can't reach the platform gets the documents from the others") {
    converged_fleet site;
    site.fleet.cut("d0", virtual_fleet::platform_domain);
    site.publish_table(2);
    CHECK(site.time_to_all(30s) < 15s);
}

TEST_CASE("standbys take over when all readers are killed or paused") {
    converged_fleet site(12, 1);
    const auto readers = site.readers();
    REQUIRE(readers.size() == 2);
    SUBCASE("killed") {
        for (const auto& node : readers) {
            site.fleet.kill(node);
        }
    }
    SUBCASE("paused") {
        for (const auto& node : readers) {
            site.fleet.pause(node);
        }
    }
    site.publish_table(2);
    site.run(18s);
    CHECK(site.count_up_to_date() >= 10);
    for (const auto& node : readers) {
        site.fleet.resume(node);
    }
    CHECK(site.time_to_all(5s) < 5s);
}

TEST_CASE("a starting node takes the newest of what neighbours and platform hold") {
    converged_fleet site;
    site.publish_table(2);
    site.run(5s);
    SUBCASE("the platform is stale") {
        site.fleet.set_platform(platform_mode::stale);
    }
    SUBCASE("the platform is down") {
        site.fleet.set_platform(platform_mode::down);
    }
    SUBCASE("the platform answers garbage") {
        site.fleet.set_platform(platform_mode::garbage);
    }
    for (const auto& node : site.fleet.instances()) {
        site.fleet.restart(node);
        site.run(20s);
        CHECK(site.tables_in_force[node] == std::vector<revision>{{2}});
    }
}

TEST_CASE("a node with neither neighbours nor platform logs this and serves when it has a table") {
    document_fleet site(1, 1);
    bool is_logged = false;
    site.fleet.observe_actions([&](const instance_id&, const action& what) {
        const auto* written = std::get_if<write_log_record>(&what);
        is_logged = is_logged || (written != nullptr &&
                                  written->record.event == log_event::serving_without_documents);
    });
    site.run(5s);
    CHECK(is_logged);
    CHECK(site.fleet.core(instance_id("n0000")).current_table() == nullptr);
    site.publish_table(1);
    site.run(5s);
    CHECK(site.fleet.core(instance_id("n0000")).current_table() != nullptr);
}

TEST_CASE("the readers' calls do not grow with the fleet") {
    converged_fleet small(16, 2);
    converged_fleet large(64, 2);
    const auto few = small.calls_in(60s);
    CHECK(large.calls_in(60s) <= few + few / 2);
}

TEST_CASE(
    "platform calls stay bounded after a mass start, a platform outage and a loss of contact") {
    constexpr std::size_t nodes = 64;
    // The readers and standbys of two domains at their shortest retry delay, plus the off-duty
    // nodes, each of which waits half a second on average at this fleet size.
    constexpr std::uint64_t max_per_second = 2ULL * 2 * 6 * 4 + nodes * 2 * 4;
    document_fleet site(nodes, 2);
    site.publish_table(1);
    site.fleet.publish_members();
    const auto worst_second = [&](int seconds) {
        std::uint64_t worst = 0;
        for (int i = 0; i < seconds; ++i) {
            const auto before = site.fleet.platform_calls();
            site.run(1s);
            worst = std::max(worst, site.fleet.platform_calls() - before);
        }
        return worst;
    };
    SUBCASE("all start at once") {
        CHECK(worst_second(30) <= max_per_second);
    }
    SUBCASE("the platform is down for an hour and comes back") {
        site.run(10s);
        site.fleet.set_platform(platform_mode::down);
        CHECK(worst_second(3600) <= max_per_second);
        site.fleet.set_platform(platform_mode::serving);
        site.publish_table(2);
        CHECK(worst_second(60) <= max_per_second);
        CHECK(site.all_agree());
    }
    SUBCASE("all nodes lose contact with each other") {
        site.run(10s);
        site.fleet.network().control_loss = 1.0;
        CHECK(worst_second(600) <= max_per_second);
        site.publish_table(2);
        CHECK(worst_second(120) <= max_per_second);
        CHECK(site.all_agree());
    }
}

TEST_CASE("a refused table is not read again in a loop") {
    converged_fleet site(12, 1);
    site.fleet.publish(document_id::table, "no table\n");
    site.run(30s);
    CHECK(site.calls_in(60s) < 120);
    CHECK(site.held(instance_id("n0000")) == revision{1});
    site.publish_table(3);
    CHECK(site.time_to_all(30s) < 2s);
}

TEST_CASE("an old answer under a high revision does not hide the tables that follow") {
    converged_fleet site;
    site.fleet.set_platform(platform_mode::garbage);
    site.run(60s);
    site.fleet.set_platform(platform_mode::serving);
    site.publish_table(2);
    CHECK(site.time_to_all(60s) < 20s);
}
