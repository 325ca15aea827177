// One try to get a request answered, here or at another node.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

#include <trefoil/base/time.hpp>
#include <trefoil/http1/message.hpp>
#include <trefoil/wire/call_context.hpp>

namespace trefoil {

/// Bodies of requests up to this size are read whole before an attempt, so that they can be sent
/// again; larger ones are passed on as they come.
inline constexpr std::size_t max_held_body_bytes = 256U << 10U;

/// What is known of the calls that a target made while it ran a request, the worst last.
enum class state_below : std::uint8_t {
    none,
    /// One was answered by an instance where requests of its priority had been waiting for long.
    busy,
    failed,
    /// One was refused for want of room, here or further down.
    no_room,
};

/// A target's answer, its head and the first bytes of its body.
struct attempt_reply {
    http1::response_head head;
    std::string body;
    /// True if the body is whole; otherwise pieces follow until message_end or attempt_failure.
    bool is_complete = false;
    std::optional<load_report> load;
    state_below below = state_below::none;
};

/// The request has not run and will not because of this attempt.
struct attempt_refusal {
    refusal reason = refusal::none;
    /// True if the request reached a target, which refused it.
    bool reached_target = false;
    std::optional<load_report> load;
    /// When there may be room; zero if nothing is known.
    duration retry_after{0};
};

/// A refusal of which no more is known.
inline attempt_refusal refused_for(refusal reason, bool reached_target = false) {
    return {reason, reached_target, std::nullopt, duration{0}};
}

/// Why nothing is known of a request that was sent.
enum class attempt_problem : std::uint8_t {
    /// The connection ended before an answer began.
    connection_lost,
    /// The answer broke off, is no HTTP, or can't have been made by the target.
    bad_answer,
};

std::string_view name_of(attempt_problem problem);

/// The request may have run.
struct attempt_failure {
    attempt_problem problem = attempt_problem::connection_lost;
};

using attempt_event = std::variant<attempt_reply, http1::body_piece, http1::message_end,
                                   attempt_refusal, attempt_failure>;
using attempt_handler = std::function<void(attempt_event)>;

/// A running attempt. Its handler is called later, never from the call that makes it, and may
/// destroy it. Destroying it before its end gives the request up.
class attempt {
public:
    virtual ~attempt() = default;

    virtual void send_body(std::string_view bytes) = 0;
    virtual void finish_body() = 0;
    /// Bytes of the request that have not left yet.
    virtual std::size_t unsent() const = 0;
    /// False while it is certain that no target has seen the request.
    virtual bool may_have_run() const = 0;
    virtual void pause() = 0;
    virtual void resume() = 0;
};

} // namespace trefoil
