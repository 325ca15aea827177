// Test fixture: a small fleet of node cores with a table and callers.
#pragma once

#include <map>

#include <trefoil/emulator/virtual_fleet.hpp>

namespace trefoil {

/// Work of each service by name. Services that are not listed compute for 10 ms.
using work_by_service = std::map<std::string, service_work>;

/// A fleet that counts the runs at targets by instance.
struct small_site {
    explicit small_site(const work_by_service& work = {}) : small_site(work_of(work), 1) {}

    small_site(fake_target::work_of work, std::uint64_t seed)
        : fleet(network_settings{}, std::move(work), seed) {
        fleet.observe_runs([this](const instance_id& instance, const http_request&,
                                  const call_context&) { ++runs[instance.str()]; });
    }

    static fake_target::work_of work_of(const work_by_service& work) {
        return [work](const service_name& service, const std::string&) {
            const auto found = work.find(service.str());
            return found == work.end() ? service_work{10ms, {}, false} : found->second;
        };
    }

    fleet_member& add(const std::string& name, const std::string& service,
                      const std::string& domain = "d1") {
        fleet_member member;
        member.core.self = instance_id(name);
        member.core.service = service_name(service);
        member.core.domain = domain_name(domain);
        member.core.region = region_name("r");
        member.core.peer_address = {"127.0.0.1", static_cast<std::uint16_t>(members.size() + 1)};
        member.core.admission = {10, 100, 1.0};
        member.target.slots = 10;
        members.push_back(std::move(member));
        return members.back();
    }

    /// Starts the added members with a table of the given rows and a row `default`.
    void start(const std::string& rows, std::uint32_t default_retries = 2) {
        for (const auto& member : members) {
            fleet.add(member);
        }
        publish_table(rows, default_retries);
        fleet.publish_members();
        run_for(1s);
    }

    void publish_table(const std::string& rows, std::uint32_t default_retries = 2) {
        fleet.publish(document_id::table,
                      "kind,service,method,path,priority,weight,deadline_ms,retries,"
                      "max_in_flight,once,max_bytes,slo_percent\n" +
                          rows + "default,*,*,*,5,1,1000," + std::to_string(default_retries) +
                          ",100,no,100000,99\n");
    }

    void run_for(duration time) { fleet.clock().run_until(fleet.clock().now() + time); }

    /// Sends a request. The returned result is empty until the request has ended.
    std::shared_ptr<std::optional<caller_result>>
    send(const std::string& node, const std::string& service, const std::string& key = "",
         const std::string& body = "7", const std::string& caller = "nurse") {
        http_request request{"POST", "/x",  service_name(service), {{"idempotency-key", key}}, body,
                             key,    caller};
        auto pending = std::make_shared<std::optional<caller_result>>();
        last_submission =
            fleet.submit(instance_id(node), request,
                         [pending](const caller_result& result) { *pending = result; });
        return pending;
    }

    /// Sends a request, runs the clock for 3 s and returns its result.
    caller_result call(const std::string& node, const std::string& service,
                       const std::string& key = "", const std::string& body = "7",
                       const std::string& caller = "nurse") {
        const auto pending = send(node, service, key, body, caller);
        run_for(3s);
        return pending->value_or(caller_result{});
    }

    int runs_of_service(const std::string& prefix) const {
        int sum = 0;
        for (const auto& [name, count] : runs) {
            sum += name.starts_with(prefix) ? count : 0;
        }
        return sum;
    }

    virtual_fleet fleet;
    std::vector<fleet_member> members;
    std::map<std::string, int> runs;
    std::uint64_t last_submission = 0;
};

} // namespace trefoil
