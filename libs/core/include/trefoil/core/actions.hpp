// Actions that a node's core returns for its host process to perform.
#pragma once

#include <variant>
#include <vector>

#include <trefoil/base/endpoint.hpp>
#include <trefoil/base/log.hpp>
#include <trefoil/core/events.hpp>
#include <trefoil/documents/document_exchange.hpp>

namespace trefoil {

/// Sends the response of a call to its sender. The core emits exactly one for each call_arrived,
/// unless call_abandoned came first.
struct send_response {
    call_id call;
    /// Null for a refusal.
    answer_ptr answer;
    answer_info info;
    /// Key with which the caller has to resend the request; set only with refusal::key_required.
    std::string idempotency_key;

    friend bool operator==(const send_response&, const send_response&) = default;
};

/// The target that this node runs beside.
struct target_destination {
    friend bool operator==(const target_destination&, const target_destination&) = default;
};

/// The peer listener of another node.
struct peer_destination {
    instance_id instance;
    endpoint address;

    friend bool operator==(const peer_destination&, const peer_destination&) = default;
};

using destination = std::variant<target_destination, peer_destination>;

/// Sends a request. Exactly one attempt_answered or attempt_failed must follow, unless the attempt
/// is cancelled.
struct start_attempt {
    attempt_id attempt;
    destination to;
    request_ptr request;
    /// Sent to a peer as the context header and to the target as baggage. Absent when a request
    /// with an idempotency key is forwarded to the owner of the key.
    std::optional<call_context> context;
    /// Time after which the attempt fails with attempt_failure::timed_out.
    duration timeout{0};
    std::uint64_t max_answer_bytes = 0;

    friend bool operator==(const start_attempt&, const start_attempt&) = default;
};

/// Cancels an attempt: closes its connection. No further event is reported for the attempt.
struct cancel_attempt {
    attempt_id attempt;

    friend bool operator==(const cancel_attempt&, const cancel_attempt&) = default;
};

/// Requests one timer_fired at about the given time. Replaces the previously armed timer.
struct arm_timer {
    time_point at;

    friend bool operator==(const arm_timer&, const arm_timer&) = default;
};

/// Sends a control message to another node. Delivery is not guaranteed.
struct send_control {
    instance_id to;
    endpoint address;
    control_message message;

    friend bool operator==(const send_control&, const send_control&) = default;
};

/// Writes a record to the log.
struct write_log_record {
    log_record record;

    friend bool operator==(const write_log_record&, const write_log_record&) = default;
};

/// Reports that draining has ended and the process may exit. The exit code is 0 if no call was left
/// and 1 otherwise.
struct exit_process {
    int code = 0;

    friend bool operator==(const exit_process&, const exit_process&) = default;
};

using action = std::variant<send_response, start_attempt, cancel_attempt, arm_timer, platform_read,
                            send_control, write_log_record, exit_process>;
using actions = std::vector<action>;

} // namespace trefoil
