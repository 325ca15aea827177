#include "target_run.hpp"

#include <algorithm>

#include <trefoil/base/overloaded.hpp>
#include <trefoil/http1/header_rules.hpp>

#include "target_response.hpp"

namespace trefoil {
namespace {

/// Maximum idle time of a pooled connection for a request that cannot be repeated. If no connection
/// was used this recently, a new one is opened.
constexpr std::chrono::milliseconds non_idempotent_max_idle{1500};
constexpr std::chrono::milliseconds target_connect_timeout{1000};

} // namespace

target_dispatcher::run::run(target_dispatcher& dispatcher, call_id call,
                            request_fingerprint fingerprint, target_request request,
                            attempt_handler on_event)
    : dispatcher_(dispatcher), call_(call), request_(std::move(request)),
      on_event_(std::move(on_event)), fingerprint_(fingerprint), arrived_(dispatcher.now()) {}

target_dispatcher::run::~run() {
    dispatcher_.runs_.erase(call_);
    remove_from_running();
    if (!is_finished_) {
        exchange_.reset();
        dispatcher_.cancel(call_, started_);
    }
}

void target_dispatcher::run::send_body(std::string_view bytes) {
    if (exchange_ != nullptr) {
        exchange_->send_body(bytes);
    } else {
        request_.body += bytes;
    }
}

void target_dispatcher::run::finish_body() {
    request_.is_body_complete = true;
    if (exchange_ != nullptr) {
        exchange_->finish_body();
    }
}

std::size_t target_dispatcher::run::unsent_bytes() const {
    return exchange_ != nullptr ? exchange_->unsent_bytes() : request_.body.size();
}

void target_dispatcher::run::set_drained_handler(std::function<void()> on_drained) {
    on_drained_ = std::move(on_drained);
    if (exchange_ != nullptr) {
        exchange_->set_drained_handler(on_drained_);
    }
}

void target_dispatcher::run::pause() {
    if (exchange_ != nullptr) {
        exchange_->pause();
    }
}

void target_dispatcher::run::resume() {
    if (exchange_ != nullptr) {
        exchange_->resume();
    }
}

void target_dispatcher::run::start() {
    started_ = dispatcher_.now();
    dispatcher_.running_.emplace(request_.request_id, this);
    const auto waited = started_ - arrived_;
    const auto left = std::max<duration>(request_.terms.remaining - waited, 1ms);
    set_header(request_.head.headers, dispatcher_.fields_.remaining_time,
               encode_milliseconds(left));
    http1::exchange_options options;
    options.connect_timeout = target_connect_timeout;
    if (request_.terms.repeats == repeatability::at_most_once) {
        options.max_idle_time = non_idempotent_max_idle;
    }
    options.identity =
        http1::response_identity{dispatcher_.fields_.request_id, request_.request_id};
    exchange_ = dispatcher_.client_.start(
        dispatcher_.target_, request_.head, request_.body, request_.is_body_complete,
        std::move(options),
        [this](http1::exchange_event event) { handle_event(std::move(event)); });
    request_.body.clear();
    request_.body.shrink_to_fit();
    exchange_->set_drained_handler(on_drained_);
    if (on_drained_ && exchange_->unsent_bytes() == 0) {
        on_drained_();
    }
}

void target_dispatcher::run::refuse(refusal reason) {
    is_finished_ = true;
    emit(dispatcher_.refused(reason, request_.terms));
}

void target_dispatcher::run::report_call_result(downstream_state downstream) {
    if (downstream <= downstream_) {
        return;
    }
    downstream_ = downstream;
    if (downstream == downstream_state::no_room) {
        report_downstream(downstream_congestion::refused);
    }
}

void target_dispatcher::run::handle_event(http1::exchange_event event) {
    if (const auto* head = std::get_if<http1::response_head>(&event)) {
        dispatcher_.read_announcement(head->headers);
    }
    auto passed = collector_.handle(std::move(event));
    if (!passed) {
        return;
    }
    auto& dispatcher = dispatcher_;
    std::visit(overloaded{[&](attempt_reply& reply) { handle_reply(std::move(reply)); },
                          [&](http1::body_piece& piece) { emit(std::move(piece)); },
                          [&](http1::message_end& end) {
                              end_run(service_status::answered);
                              emit(end);
                          },
                          [&](attempt_refusal& refused) {
                              end_run(service_status::failed);
                              emit(refused);
                          },
                          [&](attempt_failure& failed) { handle_failure(failed); }},
               *passed);
    // The handler may have destroyed this run.
    dispatcher.advance();
}

void target_dispatcher::run::handle_failure(const attempt_failure& failed) {
    if (failed.error == attempt_error::bad_answer) {
        report_answer(answer_fate::unusable, name_of(exchange_->use().fault), nullptr);
    }
    end_run(service_status::application_error);
    if (failed.error == attempt_error::connection_lost) {
        dispatcher_.crashes_.report_lost(fingerprint_);
    }
    emit(failed);
}

void target_dispatcher::run::handle_reply(attempt_reply reply) {
    const bool is_complete = reply.is_complete;
    const bool is_error = reply.head.status >= 500;
    reply.downstream = is_error ? downstream_ : std::min(downstream_, downstream_state::busy);
    if (request_.terms.is_nested && dispatcher_.is_busy_for(request_.terms)) {
        reply.downstream = std::max(reply.downstream, downstream_state::busy);
    }
    if (dispatcher_.shortages_) {
        const auto now = dispatcher_.now();
        reply.shortage =
            dispatcher_.shortages_->tell(now, request_.terms.is_nested, now - started_, heard_);
    }
    const auto head = reply.head;
    auto classified = classify_target_response(
        dispatcher_.fields_, {request_.request_id, request_.terms.repeats}, std::move(reply));
    const bool is_unusable = std::holds_alternative<attempt_failure>(classified);
    report_answer(is_unusable ? answer_fate::unusable : answer_fate::passed_on,
                  is_unusable ? "not_the_targets" : "", &head);
    if (auto* refused = std::get_if<attempt_refusal>(&classified)) {
        // The target has received fewer requests than it has slots, so a lack of slots is not
        // the cause of its refusal.
        end_run(service_status::application_error);
        refused->load = dispatcher_.load();
    } else if (std::holds_alternative<attempt_failure>(classified)) {
        end_run(service_status::application_error);
    } else if (is_complete) {
        end_run(is_error ? service_status::application_error : service_status::answered);
        dispatcher_.crashes_.report_completed(fingerprint_);
    }
    emit(std::move(classified));
}

void target_dispatcher::run::report_answer(answer_fate fate, std::string_view cause,
                                           const http1::response_head* head) {
    target_answer_report report{
        fate, std::string(cause), request_.request_id, exchange_->use(), 0, {}, {}};
    if (head != nullptr) {
        describe_head(report, dispatcher_.fields_, *head);
    }
    dispatcher_.on_answer_(report);
}

void target_dispatcher::run::report_downstream(downstream_congestion seen) {
    const auto& terms = request_.terms;
    if (!terms.is_nested) {
        dispatcher_.downstream_limiter_.note(dispatcher_.now(), terms.route, terms.priority, seen);
    }
}

void target_dispatcher::run::remove_from_running() {
    const auto [first, last] = dispatcher_.running_.equal_range(request_.request_id);
    const auto found =
        std::find_if(first, last, [this](const auto& entry) { return entry.second == this; });
    if (found != last) {
        dispatcher_.running_.erase(found);
    }
}

void target_dispatcher::run::end_run(service_status end) {
    is_finished_ = true;
    if (downstream_ != downstream_state::no_room) {
        report_downstream(downstream_ == downstream_state::busy ? downstream_congestion::busy
                                                                : downstream_congestion::clear);
    }
    remove_from_running();
    exchange_.reset();
    const auto took = dispatcher_.now() - started_;
    dispatcher_.admission_.finished(dispatcher_.now(), call_, {took, end});
    if (dispatcher_.shortages_) {
        dispatcher_.shortages_->finished(took);
    }
    dispatcher_.runs_turned_away_ += downstream_ == downstream_state::no_room ? 1 : 0;
}

void target_dispatcher::run::emit(attempt_event event) {
    const auto handler = on_event_;
    handler(std::move(event));
}

} // namespace trefoil
