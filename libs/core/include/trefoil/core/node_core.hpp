// Decision logic of a node as a state machine without I/O.
#pragma once

#include <memory>
#include <vector>

#include <trefoil/admission/admission.hpp>
#include <trefoil/core/actions.hpp>
#include <trefoil/core/events.hpp>
#include <trefoil/documents/document_exchange.hpp>
#include <trefoil/membership/membership.hpp>
#include <trefoil/once/idempotency_records.hpp>
#include <trefoil/quarantine/suspect_list.hpp>
#include <trefoil/retry/retry_budget.hpp>
#include <trefoil/retry/retry_ledger.hpp>
#include <trefoil/routing/router.hpp>
#include <trefoil/table/table.hpp>
#include <trefoil/telemetry/call_metrics.hpp>

namespace trefoil {

/// Configuration of a node's core. It is fixed for the lifetime of the core.
struct core_settings {
    instance_id self;
    service_name service;
    domain_name domain;
    region_name region;
    /// Address of the peer listener, to which other nodes send calls.
    endpoint peer_address;
    /// Address to which other nodes send control messages.
    endpoint control_address;
    /// Expected number of nodes in the fleet. Spreads the platform reads of nodes that have no
    /// instance list yet.
    std::size_t planned_nodes = 10;
    /// Enabled mechanisms of the document exchange between nodes.
    exchange_mechanisms document_mechanisms;
    /// Identifies one run of the process; chosen at random at each start.
    incarnation_id incarnation;
    /// Secret of this run of the process, used to verify the idempotency keys that it issued.
    std::string key_secret;
    /// Limits of the results stored for requests that must run at most once. The lifetime also
    /// bounds the time from the issue of an idempotency key to its first use.
    idempotency_record_limits idempotency_limits;
    /// If false, the node makes no retries itself and leaves them to applications. Used for
    /// comparison in experiments.
    bool node_retries_enabled = true;
    /// Share of the retry tokens that is passed downstream with a call.
    token_share_policy retry_token_share = token_share_policy::by_fan_out;
    retry_budget_settings retry_budget;
    admission_settings admission;
    routing_settings routing;
    quarantine_settings quarantine;
    /// Maximum time that a stop waits for calls in flight.
    duration drain_limit = 30s;
    /// Seed of the random number generators.
    std::uint64_t seed = 1;

    friend bool operator==(const core_settings&, const core_settings&) = default;
};

/// Snapshot of a node's state for operators.
struct core_status {
    document_status table;
    document_status instances;
    load_report load;
    /// Admission threshold; calls at or above this position are refused.
    std::uint32_t threshold = 0;
    /// Inbound and outbound calls that have not ended, waiting ones included.
    std::size_t calls = 0;
    /// Outbound attempts in flight.
    std::size_t attempts = 0;
    /// Entries of the instance list.
    std::size_t members = 0;
    bool target_is_up = true;
    /// True once a stop was requested or the instance is listed or announced as leaving.
    bool is_leaving = false;

    friend bool operator==(const core_status&, const core_status&) = default;
};

/// Implements admission, routing, retries and draining of one node. The class does no I/O: it
/// consumes events in the order in which they occur and returns the actions to perform. The same
/// events at the same times give the same actions.
class node_core {
public:
    explicit node_core(core_settings settings);
    ~node_core();
    node_core(node_core&&) noexcept;
    node_core& operator=(node_core&&) noexcept;

    /// Starts the core. Must be called exactly once, before the first event.
    actions start(time_point now);

    /// Processes one event and returns the resulting actions in order. `now` must not decrease from
    /// one call to the next.
    actions step(time_point now, const event& input);

    core_status status() const;
    const call_metrics& metrics() const;
    /// Returns the table in force, or null until one has been accepted.
    const table* current_table() const;

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace trefoil
