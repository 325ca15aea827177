#include <doctest/doctest.h>

#include <chrono>
#include <map>

#include <trefoil/traffic/route_table.hpp>
#include <trefoil/traffic/weighted_round_robin.hpp>

using namespace trefoil;

namespace {

route make_route(const std::string& name, const std::string& host, const std::string& prefix) {
    route made;
    made.name = name;
    made.host = host;
    made.path_prefix = prefix;
    made.services = {{service_name(name), 1}};
    made.timeout = 1s;
    return made;
}

std::string found_route_name(const route_table& table, const std::string& host,
                             const std::string& target) {
    const auto found = table.find(host, target);
    return found == nullptr ? "" : found->name;
}

} // namespace

TEST_CASE("the longest prefix of the host that begins the path is the route") {
    traffic_config config;
    config.routes = {make_route("short", "a.example", "/x/"),
                     make_route("long", "a.example", "/x/y/"),
                     make_route("other", "b.example", "/x/y/z/")};
    const route_table table(config);
    CHECK(found_route_name(table, "a.example", "/x/1") == "short");
    CHECK(found_route_name(table, "a.example", "/x/y/1") == "long");
    CHECK(found_route_name(table, "A.example:8080", "/x/y/1?q=/x/") == "long");
    CHECK(found_route_name(table, "a.example", "/x") == "");
    CHECK(found_route_name(table, "a.example", "/xy/") == "");
    CHECK(found_route_name(table, "c.example", "/x/") == "");
}

TEST_CASE("a host that the configuration writes in capitals is found") {
    traffic_config config;
    config.routes = {make_route("r", "Clinic.Example", "/")};
    CHECK(found_route_name(route_table(config), "clinic.example", "/1") == "r");
    CHECK(found_route_name(route_table(config), "CLINIC.example:80", "/1") == "r");
}

TEST_CASE("a route stays valid after its table is gone") {
    std::shared_ptr<const route> held;
    {
        traffic_config config;
        config.routes = {make_route("r", "a", "/")};
        held = route_table(config).find("a", "/1");
    }
    CHECK(held->name == "r");
}

TEST_CASE("a split with large weights does not hold up its first request") {
    auto split = make_route("r", "a", "/");
    split.services = {{service_name("s"), 3'000'000'000U}, {service_name("t"), 1'000'000'000U}};
    std::map<std::string, int> counts;
    const auto started = std::chrono::steady_clock::now();
    for (std::uint64_t seed = 0; seed < 100; ++seed) {
        weighted_round_robin rotation(seed);
        ++counts[rotation.next(split).str()];
    }
    CHECK(std::chrono::steady_clock::now() - started < 2s);
    CHECK(counts["t"] > 10);
    CHECK(counts["t"] < 40);
}

TEST_CASE("services of a split route get their weights") {
    auto split = make_route("r", "a", "/");
    split.services = {{service_name("s"), 90}, {service_name("t"), 10}};
    std::map<std::string, int> counts;
    weighted_round_robin rotation(7);
    for (int i = 0; i < 1000; ++i) {
        ++counts[rotation.next(split).str()];
    }
    CHECK(counts["s"] == 900);
    CHECK(counts["t"] == 100);
}

TEST_CASE("many nodes with few requests each add up to the weights") {
    auto split = make_route("r", "a", "/");
    split.services = {{service_name("s"), 75}, {service_name("t"), 25}};
    std::map<std::string, int> counts;
    for (std::uint64_t node = 0; node < 400; ++node) {
        weighted_round_robin rotation(node);
        for (int i = 0; i < 3; ++i) {
            ++counts[rotation.next(split).str()];
        }
    }
    CHECK(counts["t"] > 1200 * 0.25 * 0.8);
    CHECK(counts["t"] < 1200 * 0.25 * 1.2);
}

TEST_CASE("a service of weight zero gets nothing") {
    auto split = make_route("r", "a", "/");
    split.services = {{service_name("s"), 0}, {service_name("t"), 5}};
    weighted_round_robin rotation(1);
    for (int i = 0; i < 20; ++i) {
        CHECK(rotation.next(split).str() == "t");
    }
}
