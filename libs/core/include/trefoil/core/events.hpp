// Events that a node's core processes.
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

/// Listener on which a call was received.
enum class listener_kind : std::uint8_t {
    /// Calls from outside the fleet. Nothing in them is trusted.
    caller,
    /// Calls made by the local target.
    app,
    /// Calls from other nodes.
    peer,
};

/// A complete request has been received.
struct call_arrived {
    /// Chosen by the host process; below call_id{1 << 63}, since the core uses the ids from there
    /// on for calls of its own.
    call_id call;
    listener_kind received_on = listener_kind::caller;
    request_ptr request;
    /// Parsed from the context header (peer listener) or the baggage (app listener).
    std::optional<call_context> context;
    /// Incarnation of the sending node; set on the peer listener only.
    incarnation_id sender_incarnation;

    friend bool operator==(const call_arrived&, const call_arrived&) = default;
};

/// The sender of a call disconnected or cancelled it.
struct call_abandoned {
    call_id call;

    friend bool operator==(const call_abandoned&, const call_abandoned&) = default;
};

/// A complete answer to an attempt was received. For an answer of the target, `info` holds only
/// what the target itself declares.
struct attempt_answered {
    attempt_id attempt;
    answer_ptr answer;
    answer_info info;

    friend bool operator==(const attempt_answered&, const attempt_answered&) = default;
};

/// Reason why an attempt has no complete answer.
enum class attempt_failure : std::uint8_t {
    /// The connection could not be used; no byte of the request was sent.
    not_sent,
    /// The connection was lost after at least one byte of the request was sent.
    connection_lost,
    /// No complete answer arrived within the timeout of the attempt.
    timed_out,
    /// The answer exceeds start_attempt::max_answer_bytes.
    answer_too_large,
    /// The answer is not valid HTTP, has no end mark or lacks its answer information.
    bad_answer,
};

/// An attempt ended without a complete answer.
struct attempt_failed {
    attempt_id attempt;
    attempt_failure failure = attempt_failure::not_sent;

    friend bool operator==(const attempt_failed&, const attempt_failed&) = default;
};

/// The target started or stopped accepting connections.
struct target_state_changed {
    bool is_up = true;

    friend bool operator==(const target_state_changed&, const target_state_changed&) = default;
};

/// The platform answered a platform_read with a document.
struct document_received {
    document_id document = document_id::table;
    revision document_revision;
    std::string text;

    friend bool operator==(const document_received&, const document_received&) = default;
};

/// The platform answered a platform_read: it has no newer revision of the document.
struct document_unchanged {
    document_id document = document_id::table;

    friend bool operator==(const document_unchanged&, const document_unchanged&) = default;
};

/// A platform_read failed.
struct platform_read_failed {
    document_id document = document_id::table;

    friend bool operator==(const platform_read_failed&, const platform_read_failed&) = default;
};

/// A control message was received.
struct control_message_received {
    instance_id from;
    control_message message;

    friend bool operator==(const control_message_received&,
                           const control_message_received&) = default;
};

/// The operator or the platform requested that the process stop.
struct stop_requested {
    friend bool operator==(const stop_requested&, const stop_requested&) = default;
};

/// The armed timer fired. This may happen slightly before the requested time.
struct timer_fired {
    friend bool operator==(const timer_fired&, const timer_fired&) = default;
};

using event =
    std::variant<call_arrived, call_abandoned, attempt_answered, attempt_failed,
                 target_state_changed, document_received, document_unchanged, platform_read_failed,
                 control_message_received, stop_requested, timer_fired>;

} // namespace trefoil
