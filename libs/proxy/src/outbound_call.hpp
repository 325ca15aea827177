// A request from a caller on this machine.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <trefoil/http1/loop_timer.hpp>
#include <trefoil/http1/server.hpp>
#include <trefoil/traffic/placement.hpp>

#include "attempt.hpp"
#include "call_terms.hpp"
#include "incoming_body.hpp"
#include "late_response.hpp"
#include "peer_message.hpp"
#include "proxy_metrics.hpp"
#include "proxy_state.hpp"
#include "reply_relay.hpp"

namespace trefoil {

/// Routes a request, tries one instance after another as far as the type of the request and the
/// retry limiter permit, and answers the client. The object lives until the client has been
/// answered or has closed the connection.
class outbound_call : public std::enable_shared_from_this<outbound_call> {
public:
    /// Starts serving the request.
    static void serve(proxy_state& state, std::shared_ptr<http1::served_request> request);

    outbound_call(proxy_state& state, std::shared_ptr<http1::served_request> request);
    outbound_call(const outbound_call&) = delete;
    outbound_call& operator=(const outbound_call&) = delete;

private:
    /// The attempt in progress.
    struct running_attempt {
        instance_id instance;
        /// Start of the instance's process as listed when it was chosen.
        std::int64_t instance_started_at_ms = 0;
        time_point since;
        /// True if the attempt has used a retry from the retry limiter.
        bool is_retry = false;
        std::unique_ptr<attempt> operation;
    };

    void start();
    bool read_terms();
    /// Counts the request against the limit of its workspace. Answers it and returns false if there
    /// is no room.
    bool take_quota();
    /// Answers a request whose terms could not be determined.
    void reject(const terms_problem& problem);
    void body_arrived();
    /// Passes on what has arrived of a streamed body if the attempt has room for it.
    void send_more_body();
    /// The operation of the attempt in progress; null if there is none.
    attempt* running_operation() const;
    void handle_client_close();

    void start_next_attempt();
    /// True if another attempt, including the first one, is permitted.
    bool may_retry();
    void start_attempt(const listed_instance& instance, bool is_retry);
    http1::request_head make_head(const listed_instance& instance) const;
    /// Returns the terms with the time that remains now.
    run_terms current_terms() const;
    placement_request make_placement_request() const;

    void handle_event(attempt_event event);
    void handle_refusal(const attempt_refusal& refused);
    void handle_failure(const attempt_failure& failed);
    /// Records what an answer tells of a service that is short.
    void note_shortage(const std::optional<shortage_level>& told);
    /// True if a service that the route leads to has no room for this request, which begins here.
    /// Sets the time after which there may be room.
    bool is_beyond_shortage();
    void handle_reply(attempt_reply reply);
    /// Records what the instance of the running attempt announces in its answer.
    void read_announcement(const std::vector<http_header>& headers);
    void relay_reply(attempt_reply reply);
    void handle_piece(const http1::body_piece& piece);
    /// Ends the call when no further attempt is made: relays the error response of a target if
    /// there is one, otherwise sends a failure or a refusal.
    void finish_unserved();
    void handle_timeout();
    /// Called from the timeout on while a response that has begun is incomplete. Lets it continue
    /// as long as it advances, at most until the caller's deadline, and aborts it otherwise.
    void check_late_response();
    void refuse(refusal reason);
    void answer(http1::response_head head);

    /// Reports the result of the running attempt to placement.
    void report_to_placement(attempt_result result, const std::optional<load_report>& load);
    /// Reports the result of this call to the run that made it, if any.
    void report_to_parent(call_result result);
    /// Cancels the running attempt, if there is one.
    void cancel_attempt();
    void end(call_result result, int status, std::string_view cause);
    void count_shares(call_result result, int status, duration took);
    duration elapsed() const;

    proxy_state& state_;
    std::shared_ptr<http1::served_request> request_;
    /// Has no route until the terms have been read.
    call_terms terms_;
    std::string request_id_;
    /// Digest of a key that was not accepted, for the log.
    std::string key_digest_;
    time_point arrived_;
    incoming_body body_;
    bool is_started_ = false;
    /// True while the request is counted against the limit of its workspace.
    bool is_counted_ = false;

    /// At most one attempt is in progress at a time.
    std::optional<running_attempt> attempt_;
    std::vector<instance_id> excluded_;
    std::uint32_t reached_targets_ = 0;
    std::uint32_t attempt_count_ = 0;
    bool may_have_run_ = false;
    /// An error response of a target, which is relayed if no retry succeeds.
    std::optional<attempt_reply> fallback_;
    refusal last_refusal_ = refusal::none;
    bool last_refusal_reached_target_ = false;
    duration retry_after_{0};
    std::string last_error_;

    downstream_state downstream_ = downstream_state::none;
    std::optional<reply_relay> relay_;
    late_response late_response_;
    bool is_finished_ = false;
    /// Fires at the timeout of the route or the deadline of the caller, whichever comes first.
    http1::loop_timer timer_;
};

} // namespace trefoil
