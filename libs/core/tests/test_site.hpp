// Test fixture: a small fleet for tests of the interaction between nodes.
#pragma once

#include <string>
#include <utility>
#include <vector>

#include <fmt/format.h>

#include <trefoil/emulator/virtual_fleet.hpp>

namespace trefoil {

inline constexpr const char* test_table_header =
    "kind,service,method,path,priority,weight,deadline_ms,retries,max_in_flight,once,max_bytes,"
    "slo_percent\n";

/// Results of calls as the callers see them.
struct call_counts {
    int sent = 0;
    int completed = 0;
    int not_run = 0;
    int unknown = 0;
};

/// A fleet of instances named `<service>-<domain>-<n>` in the region `r`, with a table that has the
/// single row `default`.
struct test_site {
    virtual_fleet fleet;
    /// Instance and path of each run at a target.
    std::vector<std::pair<instance_id, std::string>> runs;
    std::vector<std::pair<instance_id, log_record>> records;
    /// Whether instances added from now on have the quarantine enabled.
    bool is_quarantined = true;

    explicit test_site(fake_target::work_of work, std::uint64_t seed = 1)
        : fleet(network_settings{}, std::move(work), seed) {
        fleet.observe_runs([this](const instance_id& at, const http_request& request,
                                  const call_context&) { runs.emplace_back(at, request.path); });
        fleet.observe_actions([this](const instance_id& at, const action& what) {
            if (const auto* written = std::get_if<write_log_record>(&what)) {
                records.emplace_back(at, written->record);
            }
        });
    }

    instance_id add(const std::string& service, const std::string& domain, int number,
                    std::uint32_t slots = 10, routing_settings routing = {}) {
        fleet_member added;
        instance_id name(fmt::format("{}-{}-{}", service, domain, number));
        added.core.self = name;
        added.core.service = service_name(service);
        added.core.domain = domain_name(domain);
        added.core.region = region_name("r");
        added.core.peer_address = {"127.0.0.1", ++last_port_};
        added.core.admission = {slots, slots * 10, 1.0};
        added.core.routing = routing;
        added.core.quarantine.is_enabled = is_quarantined;
        added.target.slots = slots;
        fleet.add(added);
        return name;
    }

    /// Publishes the table and the instance list and waits until every node has them.
    void start(int retries = 2, int deadline_ms = 1000) {
        fleet.publish(document_id::table, fmt::format("{}default,*,*,*,5,1,{},{},1000,no,1000,99\n",
                                                      test_table_header, deadline_ms, retries));
        fleet.publish_members();
        run_for(2s);
    }

    void run_for(duration time) { fleet.clock().run_until(fleet.clock().now() + time); }

    void send(const instance_id& node, const std::string& service, const std::string& path,
              call_counts& counts) {
        http_request request;
        request.method = "GET";
        request.path = path;
        request.service = service_name(service);
        ++counts.sent;
        fleet.submit(node, request, [&counts](const caller_result& response) {
            const bool is_success =
                response.info.result == outcome::completed && response.status == 200;
            counts.completed += is_success ? 1 : 0;
            counts.not_run += response.info.result == outcome::not_run ? 1 : 0;
            counts.unknown += response.info.result == outcome::unknown ? 1 : 0;
        });
    }

    /// Schedules calls at even intervals for the given time.
    void load(const instance_id& node, const std::string& service, const std::string& path,
              double per_second, duration time, call_counts& counts) {
        const duration gap(static_cast<duration::rep>(1e6 / per_second));
        for (duration at{0}; at < time; at += gap) {
            fleet.clock().after(
                at, [this, node, service, path, &counts] { send(node, service, path, counts); });
        }
    }

    std::size_t count_records(log_event event) const {
        std::size_t found = 0;
        for (const auto& [at, record] : records) {
            found += record.event == event ? 1 : 0;
        }
        return found;
    }

private:
    std::uint16_t last_port_ = 0;
};

} // namespace trefoil
