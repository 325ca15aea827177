// Queues requests for the target on this machine and sends them to it.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <variant>
#include <vector>

#include <trefoil/admission/admission.hpp>
#include <trefoil/admission/shortage_gate.hpp>
#include <trefoil/base/endpoint.hpp>
#include <trefoil/http1/client.hpp>
#include <trefoil/http1/loop_timer.hpp>
#include <trefoil/proxy/header_field_names.hpp>
#include <trefoil/traffic/downstream_limiter.hpp>

#include "attempt.hpp"
#include "crash_detector.hpp"
#include "peer_message.hpp"
#include "target_announcement.hpp"
#include "target_answer_report.hpp"

struct uv_loop_s;

namespace trefoil {

/// A request for the target on this machine.
struct target_request {
    http1::request_head head;
    std::string body;
    bool is_body_complete = true;
    run_terms terms;
    std::string request_id;
};

/// Applies admission control to requests for the target and runs the admitted ones over pooled
/// connections. All requests to the target pass through the dispatcher.
class target_dispatcher {
public:
    /// Called when the target announces another limit or that it is leaving.
    using announcement_handler = std::function<void(const target_announcement&)>;
    /// Called for each answer of the target once it is known what becomes of it.
    using answer_handler = std::function<void(const target_answer_report&)>;

    target_dispatcher(uv_loop_s* loop, endpoint target, const header_field_names& fields,
                      crash_detector& crashes, announcement_handler on_announcement,
                      answer_handler on_answer);
    target_dispatcher(const target_dispatcher&) = delete;
    target_dispatcher& operator=(const target_dispatcher&) = delete;

    /// Submits a request. A refusal is returned immediately; otherwise the returned attempt is
    /// queued or running.
    std::variant<std::unique_ptr<attempt>, attempt_refusal> submit(target_request request,
                                                                   attempt_handler on_event);

    /// Returns the terms of the run with this request id, during which the target makes a call.
    /// Null if no such run is in progress. Of several runs with the id, a retry is preferred.
    const run_terms* terms_of_run(const std::string& request_id) const;

    /// Reports that a call made by the target during a run with this request id has ended, and
    /// what it showed of the downstream services. It counts for all runs with the id.
    void report_call_result(const std::string& request_id, downstream_state downstream);

    /// Reports what the answer to a call made during a run with this request id tells of a service
    /// that is short.
    void report_shortage(const std::string& request_id, const shortage_level& told);

    /// Sets whether requests that a short service has no room for are refused where they begin.
    /// `service` is the target's service.
    void share_short_services(bool is_on, const service_name& service);
    /// The levels of short services; null if this is off.
    shortage_gate* shortages() { return shortages_ ? &*shortages_ : nullptr; }
    /// Runs that ended after a call of theirs had been refused for lack of capacity.
    std::uint64_t runs_turned_away() const { return runs_turned_away_; }

    /// Sets the number of slots that the target declares.
    void set_slots(std::uint32_t slots);
    /// Sets whether requests are admitted and the load is reported by expected work.
    void use_expected_work(bool is_used) { admission_.use_expected_work(is_used); }
    /// Requests by their expected work; null where it is not used.
    const target_backlog* backlog() const { return admission_.backlog(); }
    /// Notes that the process of the target has restarted. It is slow at first, and what the
    /// previous process has announced no longer holds.
    void target_restarted();

    /// Refuses the waiting and all later requests that are meant for this instance, since it leaves
    /// or is no longer listed; empty if there is none. Running requests go on.
    void set_leaving_instance(std::optional<instance_id> instance);

    /// What the target has announced in its answers.
    const target_announcement& announcement() const { return announcement_; }

    /// Applies the rate limit that another node has heard from the target. It counts only until the
    /// target's first answer to this node, which may have restarted since the target named it.
    void apply_reported_limit(double requests_per_second);

    load_report load() const;
    const http1::client_counts& counts() const { return client_.counts(); }

    /// Closes connections that have exceeded their idle time. Called about once a second.
    void sweep();

private:
    class run;

    time_point now() const;
    /// Returns the position of a request in the queue.
    std::uint32_t position_of(const run_terms& terms) const;

    /// A run that admission has refused and whose handler has not been called yet.
    struct pending_refusal {
        call_id call;
        refusal reason = refusal::none;
    };

    /// Applies the decisions of admission. Runs are started immediately. Refusals are delivered
    /// from the event loop, because a handler may end other runs, including the one being
    /// submitted just then.
    void advance();
    bool is_for_leaving_instance(const http1::request_head& head) const;
    /// Calls the handlers of refused runs.
    void notify_refused();
    /// Removes a queued or running request whose owner has destroyed it. `since` is the start time
    /// of a running request.
    void cancel(call_id call, time_point since);
    void read_announcement(const std::vector<http_header>& headers);
    /// Applies and reports an announcement that differs from the last one.
    void announce(const target_announcement& updated);
    void arm_timer();
    /// True if the queue has not been empty for a long time and the priority of this request is not
    /// higher than that of the last request in the queue.
    bool is_busy_for(const run_terms& terms) const;
    attempt_refusal refused(refusal reason, const run_terms& terms) const;
    /// Counts an arriving request for the level of the target, and returns why it is refused by it.
    std::optional<refusal> refusal_by_shortage(const run_terms& terms);

    uv_loop_s* loop_;
    endpoint target_;
    const header_field_names& fields_;
    crash_detector& crashes_;
    announcement_handler on_announcement_;
    answer_handler on_answer_;
    target_announcement announcement_;
    bool has_answered_ = false;
    std::optional<instance_id> leaving_instance_;
    http1::client client_;
    admission admission_;
    downstream_limiter downstream_limiter_;
    std::optional<shortage_gate> shortages_;
    std::uint64_t runs_turned_away_ = 0;
    std::unordered_map<call_id, run*> runs_;
    /// Running requests by id; used to find the parent run of a call that the target makes. An id
    /// names a request, of which several runs may be in progress.
    std::unordered_multimap<std::string, run*> running_;
    std::uint64_t next_call_ = 1;
    std::vector<pending_refusal> pending_refusals_;
    /// Fires when refusals are to be delivered or when the deadline of a queued request has passed.
    http1::loop_timer timer_;
};

} // namespace trefoil
