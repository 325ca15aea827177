// What can happen to a node's core.
#pragma once

#include <optional>
#include <string>
#include <variant>

#include <trefoil/base/ids.hpp>
#include <trefoil/base/time.hpp>
#include <trefoil/wire/call_context.hpp>
#include <trefoil/wire/control_message.hpp>
#include <trefoil/wire/http_message.hpp>

namespace trefoil {

/// The listener that a call came in by.
enum class listener : std::uint8_t {
    /// From outside the fleet; nothing in the call is trusted.
    caller,
    /// From the target beside this node.
    app,
    /// From another node.
    peer,
};

/// A whole request has been read.
struct call_arrived {
    /// Chosen by the shell; below call_id{1 << 63}.
    call_id call;
    listener from = listener::caller;
    request_ptr request;
    /// From the context header (peer) or the baggage (app).
    std::optional<call_context> context;
    /// The run of the node that sends it; set on the peer listener.
    incarnation_id sender;

    friend bool operator==(const call_arrived&, const call_arrived&) = default;
};

/// The sender of a call went away or withdrew it.
struct call_abandoned {
    call_id call;

    friend bool operator==(const call_abandoned&, const call_abandoned&) = default;
};

/// A complete answer to an attempt. From the target the information holds only what the target
/// itself declares.
struct attempt_answered {
    attempt_id attempt;
    answer_ptr answer;
    answer_info info;

    friend bool operator==(const attempt_answered&, const attempt_answered&) = default;
};

/// Why an attempt has no complete answer.
enum class attempt_failure : std::uint8_t {
    /// No connection; not a byte of the request was sent.
    not_sent,
    /// The connection was lost after at least one byte was sent.
    connection_lost,
    /// No complete answer within the attempt's timeout.
    timed_out,
    /// The answer is larger than allowed.
    answer_too_large,
    /// The answer is no HTTP, has no end mark or lacks its information.
    bad_answer,
};

/// An attempt ended without a complete answer.
struct attempt_failed {
    attempt_id attempt;
    attempt_failure failure = attempt_failure::not_sent;

    friend bool operator==(const attempt_failed&, const attempt_failed&) = default;
};

/// The target's process accepts connections, or has stopped doing so.
struct target_state_changed {
    bool is_up = true;

    friend bool operator==(const target_state_changed&, const target_state_changed&) = default;
};

/// The platform answered a read with a document.
struct document_read {
    document_id document = document_id::table;
    revision at;
    std::string text;

    friend bool operator==(const document_read&, const document_read&) = default;
};

/// The platform has nothing newer than asked for.
struct document_unchanged {
    document_id document = document_id::table;

    friend bool operator==(const document_unchanged&, const document_unchanged&) = default;
};

/// A read of the platform failed.
struct platform_failed {
    document_id document = document_id::table;

    friend bool operator==(const platform_failed&, const platform_failed&) = default;
};

/// A control message came in.
struct control_received {
    instance_id from;
    control_message message;

    friend bool operator==(const control_received&, const control_received&) = default;
};

/// The operator or the platform asks the process to stop.
struct stop_requested {
    friend bool operator==(const stop_requested&, const stop_requested&) = default;
};

/// The armed point in time has come.
struct timer_fired {
    friend bool operator==(const timer_fired&, const timer_fired&) = default;
};

using event = std::variant<call_arrived, call_abandoned, attempt_answered, attempt_failed,
                           target_state_changed, document_read, document_unchanged, platform_failed,
                           control_received, stop_requested, timer_fired>;

} // namespace trefoil
