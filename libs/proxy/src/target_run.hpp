// A request at the dispatcher of the local target.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include <trefoil/http1/client.hpp>

#include "attempt.hpp"
#include "crash_detector.hpp"
#include "peer_message.hpp"
#include "reply_collector.hpp"
#include "target_answer_report.hpp"
#include "target_dispatcher.hpp"

namespace trefoil {

/// A request that is queued or running.
class target_dispatcher::run : public attempt {
public:
    run(target_dispatcher& dispatcher, call_id call, request_fingerprint fingerprint,
        target_request request, attempt_handler on_event);
    ~run() override;
    run(const run&) = delete;
    run& operator=(const run&) = delete;

    void send_body(std::string_view bytes) override;
    void finish_body() override;
    std::size_t unsent_bytes() const override;
    void set_drained_handler(std::function<void()> on_drained) override;
    bool may_have_run() const override { return exchange_ != nullptr || is_finished_; }
    void pause() override;
    void resume() override;

    /// Sends the request to the target.
    void start();

    /// Ends a run that was not started.
    void refuse(refusal reason);

    const run_terms& terms() const { return request_.terms; }
    const http1::request_head& head() const { return request_.head; }

    /// Records what a call that the target made during this run showed of downstream services.
    void report_call_result(downstream_state downstream);
    /// Records what the answer to such a call tells of a service that is short.
    void report_shortage(const shortage_level& told) { add_shortage(heard_, told); }

private:
    void handle_event(http1::exchange_event event);
    void handle_reply(attempt_reply reply);
    void handle_failure(const attempt_failure& failed);

    /// Reports what becomes of an answer; `head` is null if none was read.
    void report_answer(answer_fate fate, std::string_view cause, const http1::response_head* head);

    /// Reports to the downstream limiter what the calls of this run showed.
    void report_downstream(downstream_congestion seen);

    void remove_from_running();

    /// Ends the run and releases its slot.
    void end_run(service_status end);

    void emit(attempt_event event);

    target_dispatcher& dispatcher_;
    call_id call_;
    target_request request_;
    attempt_handler on_event_;
    std::function<void()> on_drained_;
    request_fingerprint fingerprint_;
    time_point arrived_;
    time_point started_;
    std::unique_ptr<http1::exchange> exchange_;
    reply_collector collector_;
    bool is_finished_ = false;
    downstream_state downstream_ = downstream_state::none;
    /// What the calls of this run were told.
    std::optional<shortage_level> heard_;
};

} // namespace trefoil
