#include <doctest/doctest.h>

#include <trefoil/emulator/virtual_fleet.hpp>

using namespace trefoil;

namespace {

const std::string table_header = "kind,service,method,path,priority,weight,deadline_ms,retries,"
                                 "max_in_flight,once,max_bytes,slo_percent\n";

service_work work_of(const service_name& service, const std::string&) {
    service_work work;
    work.compute = 10ms;
    if (service.str() == "a") {
        work.children = {{service_name("b"), "GET", "/b"}};
    }
    return work;
}

fleet_member make_member(const std::string& name, const std::string& service,
                         const std::string& domain, std::uint16_t port) {
    fleet_member member;
    member.core.self = instance_id(name);
    member.core.service = service_name(service);
    member.core.domain = domain_name(domain);
    member.core.region = region_name("r");
    member.core.peer_address = {"127.0.0.1", port};
    member.core.admission = {10, 100, 1.0};
    return member;
}

struct two_services {
    virtual_fleet fleet{network_settings{}, work_of, 1};

    two_services() {
        fleet.add(make_member("a1", "a", "d1", 1));
        fleet.add(make_member("b1", "b", "d1", 2));
        fleet.add(make_member("b2", "b", "d2", 3));
        fleet.publish(document_id::table,
                      table_header + "default,*,*,*,5,1,1000,2,100,no,1000,99\n");
        fleet.publish_members();
        fleet.clock().run_until(fleet.clock().now() + 1s);
    }

    caller_result call() {
        caller_result result;
        http_request request;
        request.method = "GET";
        request.path = "/x";
        request.service = service_name("a");
        request.body = "7";
        fleet.submit(instance_id("a1"), request, [&](const caller_result& r) { result = r; });
        fleet.clock().run_until(fleet.clock().now() + 2s);
        return result;
    }
};

} // namespace

TEST_CASE("a request is served from the caller through two services and back") {
    two_services services;
    const auto result = services.call();
    CHECK(result.status == 200);
    CHECK(result.info.result == outcome::completed);
    CHECK(result.body == "(a 7(b 7))");
    CHECK(services.fleet.core(instance_id("a1")).status().calls == 0);
}

TEST_CASE("a published table with max_in_flight 0 makes nodes refuse requests") {
    two_services services;
    services.fleet.publish(document_id::table,
                           table_header + "default,*,*,*,5,1,1000,2,0,no,1000,99\n");
    services.fleet.clock().run_until(services.fleet.clock().now() + 1s);
    const auto result = services.call();
    CHECK(result.info.result == outcome::not_run);
    CHECK(result.info.reason == refusal::kind_limit);
}

TEST_CASE("another instance serves the call after one was killed") {
    two_services services;
    services.fleet.kill(instance_id("b1"));
    CHECK(services.call().status == 200);
}

TEST_CASE("a graceful stop completes the calls in flight") {
    two_services services;
    caller_result result;
    http_request request{"GET", "/x", service_name("a"), {}, "7", "", ""};
    services.fleet.submit(instance_id("a1"), request, [&](const caller_result& r) { result = r; });
    services.fleet.clock().run_until(services.fleet.clock().now() + 9ms);
    services.fleet.stop(instance_id("a1"));
    services.fleet.clock().run_until(services.fleet.clock().now() + 2s);
    CHECK(result.status == 200);
    CHECK_FALSE(services.fleet.is_running(instance_id("a1")));
}
