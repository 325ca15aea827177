// A node's decisions as a state machine without I/O.
#pragma once

#include <memory>
#include <vector>

#include <trefoil/admission/admission.hpp>
#include <trefoil/core/actions.hpp>
#include <trefoil/core/events.hpp>
#include <trefoil/documents/document_exchange.hpp>
#include <trefoil/membership/membership.hpp>
#include <trefoil/once/kept_runs.hpp>
#include <trefoil/quarantine/suspect_list.hpp>
#include <trefoil/retry/retry_budget.hpp>
#include <trefoil/retry/retry_ledger.hpp>
#include <trefoil/routing/router.hpp>
#include <trefoil/table/table.hpp>
#include <trefoil/telemetry/call_metrics.hpp>

namespace trefoil {

/// What a node's core must know from the start.
struct core_settings {
    instance_id self;
    service_name service;
    domain_name domain;
    region_name region;
    /// Where other nodes reach this one.
    endpoint peer_address;
    /// Where other nodes send control messages to.
    endpoint control_address;
    /// Nodes that the fleet is planned for; spreads the reads of nodes that know no list yet.
    std::size_t planned_nodes = 10;
    exchange_mechanisms document_mechanisms;
    /// Chosen at random for each run of the process.
    incarnation_id incarnation;
    /// Secret of this run of the process, by which it knows the idempotency keys that it gave out.
    std::string key_secret;
    /// Bounds of what is kept of requests that must not be repeated. A key may be used for the
    /// first time within the same lifetime after its issue.
    kept_limits kept_once;
    /// False if the node itself makes no retries and leaves them to applications, for comparison.
    bool retries_by_node = true;
    /// How many retry tokens go down with a call.
    lending lends = lending::by_fan_out;
    retry_budget_settings retry_budget;
    admission_settings admission;
    routing_settings routing;
    quarantine_settings quarantine;
    /// How long a stop waits for calls in flight.
    duration drain_limit = 30s;
    /// Seed of every random choice.
    std::uint64_t seed = 1;

    friend bool operator==(const core_settings&, const core_settings&) = default;
};

/// State of a node for operators.
struct core_status {
    document_status table;
    document_status instances;
    load_report load;
    std::uint32_t threshold = 0;
    std::size_t calls = 0;
    std::size_t attempts = 0;
    std::size_t members = 0;
    bool target_is_up = true;
    bool is_leaving = false;

    friend bool operator==(const core_status&, const core_status&) = default;
};

/// All policy of one node. Driven by events in the order in which they happen; the same events at
/// the same times give the same actions.
class node_core {
public:
    explicit node_core(core_settings settings);
    ~node_core();
    node_core(node_core&&) noexcept;
    node_core& operator=(node_core&&) noexcept;

    /// Begins; called once, before the first event.
    actions start(time_point now);

    /// Takes one event in. `now` never falls from one call to the next.
    actions step(time_point now, const event& happened);

    core_status status() const;
    const call_metrics& metrics() const;
    /// The table in force; null until one is accepted.
    const table* current_table() const;

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace trefoil
