// Tests of a failure domain of proxies that share the reading of the registry.
#include <doctest/doctest.h>

#include <algorithm>
#include <vector>

#include <trefoil/proxy/read_sharing.hpp>

#include "fleet_site.hpp"

using namespace trefoil;

namespace {

const auto bound = proxy_settings{}.config_apply_time;

} // namespace

TEST_CASE("two nodes of a domain read, and a change is in force everywhere at once") {
    fleet_site site;
    CHECK(site.readers_within(2s).size() == 2);
    const auto before = site.registry->calls();
    site.run_for(4s);
    // Each node by itself would make three calls.
    CHECK(site.registry->calls() - before < 2 * node_count);
    site.registry->publish(6);
    CHECK(site.all_have(6, bound / 2));
}

TEST_CASE("a version is not late because the reader's connection to the store went silent") {
    for (const std::size_t silent_readers : {1, 2}) {
        fleet_site site;
        const auto readers = site.readers_within(1s);
        REQUIRE(readers.size() == 2);
        for (std::size_t i = 0; i < silent_readers; ++i) {
            site.registry->set_mode(readers[i], registry_mode::silent);
        }
        site.registry->publish(6);
        site.run_for(bound);
        for (std::size_t node = 0; node < node_count; ++node) {
            const auto end = readers.begin() + static_cast<std::ptrdiff_t>(silent_readers);
            const bool is_out_of_touch = std::find(readers.begin(), end, node) != end;
            if (!is_out_of_touch) {
                CHECK(site.version_of(node) == 6);
            }
        }
    }
}

TEST_CASE("a reader that the store turns away has the version from the other reader") {
    fleet_site site;
    const auto readers = site.readers_within(1s);
    REQUIRE(readers.size() == 2);
    site.registry->set_mode(readers[0], registry_mode::refusing);
    site.registry->publish(6);
    CHECK(site.all_have(6, bound));
}

TEST_CASE("a version is not late because both readers have ended") {
    fleet_site site;
    const auto readers = site.readers_within(1s);
    REQUIRE(readers.size() == 2);
    for (const auto reader : readers) {
        site.nodes[reader].reset();
    }
    site.registry->publish(6);
    CHECK(site.all_have(6, bound));
    // Others have taken over from them.
    site.run_for(1s);
    CHECK(site.readers_within(2s).size() <= 4);
}

TEST_CASE("a node that starts again has everything from a reader") {
    fleet_site site;
    const auto readers = site.readers_within(1s);
    std::size_t node = 0;
    while (std::find(readers.begin(), readers.end(), node) != readers.end()) {
        ++node;
    }
    site.registry->publish(6);
    REQUIRE(site.all_have(6, bound));
    const auto before = site.registry->calls_of(node);
    site.nodes[node].reset();
    site.start_node(node);
    CHECK(site.all_have(6, 1s));
    CHECK(site.registry->calls_of(node) == before);
}

TEST_CASE("while the store refuses all, a bounded number ask, and its return is noticed in time") {
    fleet_site site;
    for (std::size_t node = 0; node < node_count; ++node) {
        site.registry->set_mode(node, registry_mode::refusing);
    }
    site.run_for(2s);
    const auto before = site.registry->calls();
    site.run_for(4s);
    // Each of at most four readers asks again after 600 ms at the latest and 300 ms at the soonest.
    constexpr std::size_t reader_calls = 56;
    const auto fallback_calls = static_cast<std::size_t>(4 * read_sharing::max_fallback_rate);
    CHECK(site.registry->calls() - before <= reader_calls + fallback_calls);
    site.registry->publish(6);
    for (std::size_t node = 0; node < node_count; ++node) {
        site.registry->set_mode(node, registry_mode::serving);
    }
    CHECK(site.all_have(6, bound));
}
