// An attempt to have a request answered by the local target or through another node.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include <trefoil/admission/shortage_levels.hpp>
#include <trefoil/base/time.hpp>
#include <trefoil/http1/body_memory.hpp>
#include <trefoil/http1/message.hpp>
#include <trefoil/wire/call_context.hpp>

namespace trefoil {

/// Request bodies up to this size are buffered completely before an attempt, so that they can be
/// sent again. Larger bodies are streamed.
inline constexpr std::size_t max_buffered_body_bytes = 256U << 10U;
/// No more of a streamed body is taken from its sender while this many bytes of it wait to be
/// written.
inline constexpr std::size_t max_unsent_body_bytes = 128U << 10U;
/// Replaces both while the memory for bodies is short.
inline constexpr std::size_t max_body_bytes_when_short = 8U << 10U;

/// Maximum size of a body that is buffered completely at present.
inline std::size_t max_buffered_bytes(const http1::body_memory& memory) {
    return memory.is_short() ? max_body_bytes_when_short : max_buffered_body_bytes;
}

/// What is known of the calls that a target made while it ran a request, from best to worst.
enum class downstream_state : std::uint8_t {
    none,
    /// A call was answered by an instance whose queue had not been empty for a long time and held
    /// requests of the same or a higher priority.
    busy,
    failed,
    /// A call timed out or was refused for lack of capacity, at the called instance or further
    /// downstream in the call graph.
    no_room,
};

/// A target's response: the head and the first bytes of the body.
struct attempt_reply {
    http1::response_head head;
    std::string body;
    /// True if `body` is complete. Otherwise pieces follow until message_end or attempt_failure.
    bool is_complete = false;
    std::optional<load_report> load;
    downstream_state downstream = downstream_state::none;
    /// A service that is short, see shortage_gate.
    std::optional<shortage_level> shortage = std::nullopt;
};

/// The request has not run, and this attempt will not run it later.
struct attempt_refusal {
    refusal reason = refusal::none;
    /// True if the request reached a target and the target refused it.
    bool reached_target = false;
    std::optional<load_report> load;
    /// Time after which capacity may be available; zero if unknown.
    duration retry_after{0};
};

/// Returns a refusal that has neither a load report nor a retry time.
inline attempt_refusal make_refusal(refusal reason, bool reached_target = false) {
    return {reason, reached_target, std::nullopt, duration{0}};
}

/// Why it is unknown whether a request that was sent has run.
enum class attempt_error : std::uint8_t {
    /// The connection was lost before a response began.
    connection_lost,
    /// The response was truncated, is not valid HTTP, or cannot have been made by the target.
    bad_answer,
};

std::string_view name_of(attempt_error error);

/// The attempt failed and the request may have run.
struct attempt_failure {
    attempt_error error = attempt_error::connection_lost;
};

/// Events of an attempt. attempt_refusal, attempt_failure, message_end and a complete attempt_reply
/// end it.
using attempt_event = std::variant<attempt_reply, http1::body_piece, http1::message_end,
                                   attempt_refusal, attempt_failure>;
using attempt_handler = std::function<void(attempt_event)>;

/// An attempt in progress. The handler is called asynchronously, never from within the call that
/// creates the attempt, and it may destroy the attempt. Destroying an attempt before it has ended
/// cancels it.
class attempt {
public:
    virtual ~attempt() = default;

    virtual void send_body(std::string_view bytes) = 0;
    virtual void finish_body() = 0;
    /// Number of request bytes that have not been written yet.
    virtual std::size_t unsent_bytes() const = 0;
    /// Sets a function that is called when all unsent request bytes have been written. It must not
    /// destroy the attempt.
    virtual void set_drained_handler(std::function<void()> on_drained) = 0;
    /// False as long as it is certain that no target has received the request.
    virtual bool may_have_run() const = 0;
    /// Stops reading the response, for backpressure.
    virtual void pause() = 0;
    virtual void resume() = 0;
};

} // namespace trefoil
