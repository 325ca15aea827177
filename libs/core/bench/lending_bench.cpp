// Compares policies for the share of a request's retry tokens that is passed downstream with a
// call, by the share of requests that complete while instances crash, stop and shed load.
#include <map>

#include <fmt/format.h>

#include <trefoil/emulator/virtual_fleet.hpp>

using namespace trefoil;

namespace {

constexpr int services = 7;
constexpr int instances_per_service = 4;
constexpr int requests = 3000;
constexpr duration between_requests = 4ms;

struct topology {
    std::string name;
    fake_target::work_of work;
};

service_name service_at(int depth) {
    return service_name("s" + std::to_string(depth));
}

int depth_of(const service_name& service) {
    return service.str()[1] - '0';
}

// A chain in which each service calls the next one.
service_work chain(const service_name& service, const std::string& path) {
    service_work work{1ms, {}, false};
    if (depth_of(service) < services - 1) {
        work.children = {{service_at(depth_of(service) + 1), "POST", path + "a"}};
    }
    return work;
}

// A fan-out in which the first service calls all others.
service_work star(const service_name& service, const std::string& path, bool in_parallel) {
    service_work work{1ms, {}, in_parallel};
    for (int i = 1; i < services && depth_of(service) == 0; ++i) {
        work.children.push_back({service_at(i), "POST", path + "a"});
    }
    return work;
}

// A tree of three levels with two parallel calls each.
service_work tree(const service_name& service, const std::string& path) {
    service_work work{1ms, {}, true};
    if (depth_of(service) < 3) {
        const auto next = service_at(depth_of(service) + 1);
        work.children = {{next, "POST", path + "a"}, {next, "POST", path + "b"}};
    }
    return work;
}

const std::vector<topology> topologies = {
    {"chain of 7", chain},
    {"6 calls one after the other", [](const auto& s, const auto& p) { return star(s, p, false); }},
    {"6 calls at once", [](const auto& s, const auto& p) { return star(s, p, true); }},
    {"tree of 2 x 2 x 2", tree},
};

struct fault_profile {
    std::string name;
    /// Mean time between two faults of one instance.
    duration mean_interval{0};
    bool stops_nodes = false;
    /// Concurrency limit of a node; a low limit makes it shed load.
    std::uint32_t slots = 50;
};

const std::vector<fault_profile> fault_profiles = {
    {"targets crash", 1s, false, 50},
    {"nodes stop", 1s, true, 50},
    {"instances shed", 3600s, false, 2},
};

void add_instances(virtual_fleet& fleet, token_share_policy policy, const fault_profile& fault) {
    std::uint16_t port = 1;
    const auto add = [&](const std::string& name, const service_name& service) {
        fleet_member member;
        member.core.self = instance_id(name);
        member.core.service = service;
        member.core.domain = domain_name("d1");
        member.core.region = region_name("r");
        member.core.peer_address = {"127.0.0.1", port++};
        member.core.admission = {fault.slots, 1000, 0};
        member.core.retry_token_share = policy;
        member.core.retry_budget = {1, 1000, 1e6};
        member.target.slots = 50;
        member.target.restart_time = 50ms;
        fleet.add(member);
    };
    add("edge", service_name("edge"));
    for (int i = 0; i < services; ++i) {
        for (int k = 0; k < instances_per_service; ++k) {
            add(fmt::format("s{}-{}", i, k), service_at(i));
        }
    }
}

void schedule_fault(virtual_fleet& fleet, random_source& random, const fault_profile& fault,
                    const instance_id& instance) {
    const auto wait = duration(static_cast<duration::rep>(
        2.0 * random.unit() * static_cast<double>(fault.mean_interval.count())));
    fleet.clock().after(wait, [&fleet, &random, &fault, instance] {
        if (fault.stops_nodes) {
            fleet.kill(instance);
            fleet.clock().after(50ms, [&fleet, instance] { fleet.restart(instance); });
        } else if (fleet.target(instance).is_up()) {
            fleet.target(instance).crash();
        }
        schedule_fault(fleet, random, fault, instance);
    });
}

double completed_percent(const topology& shape, const fault_profile& fault,
                         token_share_policy policy, int tokens, std::uint64_t seed) {
    virtual_fleet fleet(network_settings{}, shape.work, seed);
    random_source random(seed);
    add_instances(fleet, policy, fault);
    fleet.publish(document_id::table,
                  fmt::format("kind,service,method,path,priority,weight,deadline_ms,retries,"
                              "max_in_flight,once,max_bytes,slo_percent\n"
                              "default,*,*,*,5,1,1000,{},1000,no,100000,99\n",
                              tokens));
    fleet.publish_members();
    fleet.clock().run_until(fleet.clock().now() + 2s);
    for (const auto& instance : fleet.instances()) {
        if (instance.str() != "edge") {
            schedule_fault(fleet, random, fault, instance);
        }
    }
    int completed = 0;
    for (int i = 0; i < requests; ++i) {
        http_request request{"POST", "/", service_at(0), {}, std::to_string(i), "", "caller"};
        fleet.submit(instance_id("edge"), request, [&](const caller_result& response) {
            completed += response.status == 200 ? 1 : 0;
        });
        fleet.clock().run_until(fleet.clock().now() + between_requests);
    }
    fleet.clock().run_until(fleet.clock().now() + 2s);
    return 100.0 * completed / requests;
}

} // namespace

int main() {
    const std::map<std::string, token_share_policy> policies = {
        {"all", token_share_policy::all},
        {"all but one", token_share_policy::all_but_one},
        {"half", token_share_policy::half},
        {"quarter", token_share_policy::quarter},
        {"by fan-out", token_share_policy::by_fan_out}};
    constexpr std::uint64_t seeds = 3;
    fmt::print("completed requests in percent, mean of seeds 1..{}\n", seeds);
    fmt::print("{:28} {:16} {:>6}", "calls", "fault", "tokens");
    for (const auto& [name, policy] : policies) {
        fmt::print(" {:>12}", name);
    }
    fmt::print("\n");
    for (const auto& shape : topologies) {
        for (const auto& fault : fault_profiles) {
            for (const int tokens : {0, 1, 2, 4, 8}) {
                fmt::print("{:28} {:16} {:>6}", shape.name, fault.name, tokens);
                for (const auto& [name, policy] : policies) {
                    double sum = 0;
                    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
                        sum += completed_percent(shape, fault, policy, tokens, seed);
                    }
                    fmt::print(" {:>12.2f}", sum / seeds);
                }
                fmt::print("\n");
            }
        }
    }
    return 0;
}
