// What a node's core asks its shell to do.
#pragma once

#include <variant>
#include <vector>

#include <trefoil/base/endpoint.hpp>
#include <trefoil/base/log.hpp>
#include <trefoil/core/events.hpp>
#include <trefoil/documents/document_exchange.hpp>

namespace trefoil {

/// Ends a call towards whoever sent it. Exactly one comes for each call_arrived, unless the call
/// was abandoned first.
struct respond {
    call_id call;
    /// Null for a refusal.
    answer_ptr answer;
    answer_info info;
    /// A key for the caller to send the request again with; only with refusal::key_required.
    std::string idempotency_key;

    friend bool operator==(const respond&, const respond&) = default;
};

/// The target beside this node.
struct target_destination {
    friend bool operator==(const target_destination&, const target_destination&) = default;
};

/// Another node's peer listener.
struct peer_destination {
    instance_id instance;
    endpoint address;

    friend bool operator==(const peer_destination&, const peer_destination&) = default;
};

using destination = std::variant<target_destination, peer_destination>;

/// Sends a request. Exactly one attempt_answered or attempt_failed follows, unless the attempt is
/// cancelled.
struct start_attempt {
    attempt_id attempt;
    destination to;
    request_ptr request;
    /// Goes as the context header to a peer, as baggage to the target; absent when a keyed request
    /// is passed to the key's owner.
    std::optional<call_context> context;
    /// Time after which the shell gives up with attempt_failure::timed_out.
    duration timeout{0};
    std::uint64_t max_answer_bytes = 0;

    friend bool operator==(const start_attempt&, const start_attempt&) = default;
};

/// Gives an attempt up: its connection is closed and nothing more is heard of it.
struct cancel_attempt {
    attempt_id attempt;

    friend bool operator==(const cancel_attempt&, const cancel_attempt&) = default;
};

/// Asks for one timer_fired at or soon after the point in time; replaces the former one.
struct arm_timer {
    time_point at;

    friend bool operator==(const arm_timer&, const arm_timer&) = default;
};

/// Sends a control message to another node; it may be lost.
struct send_control {
    instance_id to;
    endpoint address;
    control_message message;

    friend bool operator==(const send_control&, const send_control&) = default;
};

/// Writes a log record.
struct write_record {
    log_record record;

    friend bool operator==(const write_record&, const write_record&) = default;
};

/// All work is done; the process may exit with this code.
struct exit_process {
    int code = 0;

    friend bool operator==(const exit_process&, const exit_process&) = default;
};

using action = std::variant<respond, start_attempt, cancel_attempt, arm_timer, platform_read,
                            send_control, write_record, exit_process>;
using actions = std::vector<action>;

} // namespace trefoil
