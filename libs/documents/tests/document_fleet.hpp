// An emulated fleet for tests and benchmarks of the replication of published documents.
#pragma once

#include <set>
#include <string>
#include <vector>

#include <fmt/format.h>

#include <trefoil/base/overloaded.hpp>
#include <trefoil/emulator/virtual_fleet.hpp>
#include <trefoil/wire/codec.hpp>

namespace trefoil {

/// Number of control messages and their total size in bytes.
struct control_count {
    std::uint64_t messages = 0;
    std::uint64_t bytes = 0;

    friend bool operator==(const control_count&, const control_count&) = default;
};

/// An emulated fleet whose nodes are spread over failure domains `d0`, `d1`, ..., with two domains
/// per region. Records the control messages sent and the table revisions put in force.
class document_fleet {
public:
    document_fleet(std::size_t nodes, std::size_t domains, exchange_mechanisms mechanisms = {},
                   std::uint64_t seed = 1)
        : fleet(
              network_settings{},
              [](const service_name&, const std::string&) { return service_work{}; }, seed) {
        fleet.observe_actions(
            [this](const instance_id& node, const action& what) { on_action(node, what); });
        for (std::size_t i = 0; i < nodes; ++i) {
            fleet_member member;
            member.core.self = instance_id(fmt::format("n{:04}", i));
            member.core.service = service_name(fmt::format("s{}", i % 7));
            member.core.domain = domain_name(fmt::format("d{}", i % domains));
            member.core.region = region_name(fmt::format("r{}", i % domains / 2));
            member.core.peer_address = {"127.0.0.1", static_cast<std::uint16_t>(1000 + i)};
            member.core.planned_nodes = nodes;
            member.core.document_mechanisms = mechanisms;
            fleet.add(std::move(member));
        }
    }

    /// Publishes a table with the given number of rows. The number is written into two of the rows
    /// as their max_in_flight, so that tables with different numbers differ.
    void publish_table(std::size_t number, std::size_t rows = 10) {
        std::string text = "kind,service,method,path,priority,weight,deadline_ms,retries,"
                           "max_in_flight,once,max_bytes,slo_percent\n";
        for (std::size_t i = 0; i + 1 < rows; ++i) {
            text +=
                fmt::format("kind-{},service-{},GET,/v1/things/{}/*,5,1,1000,2,{},no,65536,99\n", i,
                            i % 1100, i, i == number % (rows - 1) ? number : 100);
        }
        text += fmt::format("default,*,*,*,5,1,1000,2,{},no,65536,99\n", number);
        fleet.publish(document_id::table, text);
    }

    /// Advances the emulated clock.
    void run(duration time) { fleet.clock().run_until(fleet.clock().now() + time); }

    /// Revision of the table that a node holds.
    revision held(const instance_id& node) { return fleet.core(node).status().table.held; }

    /// Number of running nodes that hold the published table.
    std::size_t count_up_to_date() {
        std::size_t count = 0;
        for (const auto& node : fleet.instances()) {
            const auto newest = fleet.published(document_id::table);
            count += fleet.is_running(node) && held(node) == newest ? 1 : 0;
        }
        return count;
    }

    /// Runs until all running nodes hold the published table, or until the limit. Returns the
    /// emulated time that this takes.
    duration time_to_all(duration limit) {
        constexpr duration step = 10ms;
        const auto began = fleet.clock().now();
        while (fleet.clock().now() - began < limit && !all_agree()) {
            run(step);
        }
        return fleet.clock().now() - began;
    }

    /// True if all running nodes hold the published table.
    bool all_agree() {
        std::size_t running = 0;
        for (const auto& node : fleet.instances()) {
            running += fleet.is_running(node) ? 1 : 0;
        }
        return count_up_to_date() == running;
    }

    /// Running nodes that are currently elected to read from the platform.
    std::set<instance_id> readers() {
        std::set<instance_id> found;
        for (const auto& node : fleet.instances()) {
            if (fleet.is_running(node) && fleet.core(node).status().table.is_reader) {
                found.insert(node);
            }
        }
        return found;
    }

    virtual_fleet fleet;
    /// Control messages sent by all nodes.
    control_count sent;
    std::map<instance_id, control_count> sent_by;
    /// True if a node accepted a version of a document that was not newer than one it had accepted
    /// before in the same incarnation.
    bool has_revision_decreased = false;
    /// Revisions of the tables that each node put in force in its current incarnation.
    std::map<instance_id, std::vector<revision>> tables_in_force;

private:
    void on_action(const instance_id& node, const action& what) {
        std::visit(overloaded{
                       [&](const send_control& message) {
                           const auto bytes = encode_control(message.message).size();
                           ++sent.messages;
                           sent.bytes += bytes;
                           ++sent_by[node].messages;
                           sent_by[node].bytes += bytes;
                       },
                       [&](const write_log_record& written) { on_record(node, written.record); },
                       [](const auto&) {},
                   },
                   what);
    }

    void on_record(const instance_id& node, const log_record& record) {
        if (record.event == log_event::node_started) {
            last_accepted_[node].clear();
            tables_in_force[node].clear();
        }
        if (record.event != log_event::document_accepted) {
            return;
        }
        const auto& document = record.fields.at(0).second;
        const revision at{std::stoull(record.fields.at(1).second)};
        auto& last = last_accepted_[node][document];
        has_revision_decreased = has_revision_decreased || at <= last;
        last = std::max(last, at);
        if (document == name_of(document_id::table)) {
            tables_in_force[node].push_back(at);
        }
    }

    std::map<instance_id, std::map<std::string, revision>> last_accepted_;
};

} // namespace trefoil
