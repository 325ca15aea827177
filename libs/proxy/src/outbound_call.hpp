// A request that begins on this machine.
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
#include "peer_message.hpp"
#include "proxy_metrics.hpp"
#include "proxy_state.hpp"
#include "reply_relay.hpp"

namespace trefoil {

/// Finds the route, sends the request to one instance after another as far as its kind and the
/// allowances permit, and answers the client. It lives until the client is answered or gone.
class outbound_call : public std::enable_shared_from_this<outbound_call> {
public:
    /// Takes the request over.
    static void serve(proxy_state& state, std::shared_ptr<http1::served_request> request);

    outbound_call(proxy_state& state, std::shared_ptr<http1::served_request> request);
    outbound_call(const outbound_call&) = delete;
    outbound_call& operator=(const outbound_call&) = delete;

private:
    /// The attempt that is under way.
    struct running_try {
        instance_id instance;
        time_point since;
        /// True if it draws on the allowance of repeats.
        bool is_repeat = false;
        std::unique_ptr<attempt> work;
    };

    void start();
    bool read_terms();
    void body_arrived();
    void send_more_body();
    void client_gone();

    void next_try();
    bool may_repeat();
    void begin_try(const listed_instance& instance, bool is_repeat);
    http1::request_head head_for(const listed_instance& instance) const;
    run_terms terms_now() const;
    placement_request place_request() const;

    void take(attempt_event event);
    void take_refusal(const attempt_refusal& refused);
    void take_failure(const attempt_failure& failed);
    void take_reply(attempt_reply reply);
    void deliver(attempt_reply reply);
    void take_piece(const http1::body_piece& piece);
    void conclude();
    void time_out();
    void refuse(refusal reason);
    void answer(http1::response_head head);

    /// Tells placement how the running try has ended.
    void note_placement(attempt_result end, const std::optional<load_report>& load);
    void tell_parent(call_end how);
    /// Gives the running try up, if there is one.
    void drop_try();
    void end(call_end how, int status, std::string_view cause);
    duration elapsed() const;

    proxy_state& state_;
    std::shared_ptr<http1::served_request> request_;
    /// Without a route until they are read.
    call_terms terms_;
    std::string request_id_;
    time_point arrived_;
    /// The body as far as it was taken from the client and may have to be sent again.
    std::string body_;
    bool is_body_whole_ = false;
    /// True for a body that is passed on as it comes; it is not held, so it can't be sent again.
    bool is_body_streamed_ = false;
    bool is_started_ = false;

    /// One at a time.
    std::optional<running_try> try_;
    std::vector<instance_id> excluded_;
    std::uint32_t reached_targets_ = 0;
    std::uint32_t tries_made_ = 0;
    bool may_have_run_ = false;
    /// A failure that the target answered, delivered unless a repeat does better.
    std::optional<attempt_reply> fallback_;
    refusal last_refusal_ = refusal::none;
    bool last_refusal_reached_target_ = false;
    duration retry_after_{0};
    std::string last_problem_;

    state_below below_ = state_below::none;
    std::optional<reply_relay> relay_;
    bool is_over_ = false;
    /// Ends the wait at the route's timeout or the caller's deadline.
    http1::loop_timer timer_;
};

} // namespace trefoil
