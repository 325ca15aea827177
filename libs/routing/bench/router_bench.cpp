// Prints the time of a pick for several sizes of the fleet and of the called service.
#include <chrono>

#include <fmt/format.h>

#include <trefoil/routing/router.hpp>

using namespace trefoil;

namespace {

constexpr int calls = 200'000;
constexpr int domains = 8;

membership make_fleet(int services, int instances) {
    std::vector<member> listed;
    for (int s = 0; s < services; ++s) {
        for (int i = 0; i < instances; ++i) {
            const int domain = (s + i) % domains;
            member entry;
            entry.instance = instance_id(fmt::format("service-{}-{}", s, i));
            entry.service = service_name(fmt::format("service-{}", s));
            entry.domain = domain_name(fmt::format("d{}", domain));
            entry.region = region_name(fmt::format("r{}", domain / 2));
            listed.push_back(entry);
        }
    }
    membership fleet;
    fleet.replace(std::move(listed));
    return fleet;
}

double microseconds_per_call(int services, int instances) {
    const auto fleet = make_fleet(services, instances);
    router balancer({domain_name("d1"), region_name("r0")});
    random_source random(1);
    const service_name called("service-0");
    const auto begin = std::chrono::steady_clock::now();
    for (int i = 0; i < calls; ++i) {
        const time_point now(1ms * i);
        const auto chosen = balancer.pick(now, fleet, called, {}, random);
        balancer.started(chosen->instance);
        balancer.finished(now, chosen->instance, attempt_result::answered, load_report{1, 0, 10});
    }
    const std::chrono::duration<double, std::micro> spent =
        std::chrono::steady_clock::now() - begin;
    return spent.count() / calls;
}

} // namespace

int main() {
    fmt::print("services  instances  us a call\n");
    for (const auto& [services, instances] :
         {std::pair{10, 7}, {100, 7}, {1043, 7}, {1, 3}, {1, 30}, {1, 300}}) {
        fmt::print("{:>8}  {:>9}  {:>9.3f}\n", services, instances,
                   microseconds_per_call(services, instances));
    }
}
