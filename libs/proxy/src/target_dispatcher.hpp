// The one way to the target on this machine.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include <trefoil/admission/admission.hpp>
#include <trefoil/base/endpoint.hpp>
#include <trefoil/http1/client.hpp>
#include <trefoil/http1/loop_timer.hpp>
#include <trefoil/proxy/call_fields.hpp>
#include <trefoil/traffic/downstream_level.hpp>

#include "attempt.hpp"
#include "crash_detector.hpp"
#include "peer_message.hpp"

struct uv_loop_s;

namespace trefoil {

/// A request for the target on this machine.
struct gate_request {
    http1::request_head head;
    std::string body;
    bool is_body_complete = true;
    run_terms terms;
    std::string request_id;
};

/// Queues requests by admission's decisions and runs them over connections that it keeps.
class target_gate {
public:
    target_gate(uv_loop_s* loop, endpoint target, const call_fields& fields, crash_watch& crashes);
    target_gate(const target_gate&) = delete;
    target_gate& operator=(const target_gate&) = delete;

    /// Asks for a run. A refusal is returned at once; otherwise the attempt waits or runs.
    std::variant<std::unique_ptr<attempt>, attempt_refusal> submit(gate_request request,
                                                                   attempt_handler on_event);

    /// The terms of the run during which the target makes a call; null if no such run is known.
    const run_terms* terms_of_run(const std::string& request_id) const;

    /// A call that the target made during a run has ended, and this is known of where it went.
    void call_ended(const std::string& request_id, state_below below);

    /// What the target declares of itself.
    void set_slots(std::uint32_t slots);
    /// The target's process is new and slow at first.
    void set_cold();

    load_report load() const;
    const http1::client_counts& counts() const { return client_.counts(); }

    /// Closes old idle connections. Called about once a second.
    void sweep();

private:
    class run;

    time_point now() const;
    /// A run that admission has refused and whose owner is not told yet.
    struct pending_refusal {
        call_id call;
        refusal reason = refusal::none;
    };

    /// Carries out admission's decisions. Runs are started at once; owners are told of refusals
    /// from the loop, since a handler may end other runs, also one that is being submitted.
    void advance();
    void tell_refused();
    /// The owner of a waiting or running request has gone.
    void give_up(call_id call, time_point since);
    void arm_timer();
    /// True if requests no more important than this one have been waiting here for long.
    bool is_busy_for(const run_terms& terms) const;
    attempt_refusal refused(refusal reason, std::uint32_t position) const;

    uv_loop_s* loop_;
    endpoint target_;
    const call_fields& fields_;
    crash_watch& crashes_;
    http1::client client_;
    admission admission_;
    downstream_level downstream_;
    std::unordered_map<call_id, run*> runs_;
    /// Running requests by id, for the calls that they make.
    std::unordered_map<std::string, run*> running_;
    std::uint64_t next_call_ = 1;
    std::vector<pending_refusal> refused_;
    /// Fires when owners are to be told of refusals, or when a waiting request has become too late.
    http1::loop_timer timer_;
};

} // namespace trefoil
