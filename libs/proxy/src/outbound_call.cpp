#include "outbound_call.hpp"

#include <algorithm>

#include <fmt/format.h>

#include <trefoil/base/overloaded.hpp>
#include <trefoil/http1/header_rules.hpp>

#include "finished_call.hpp"
#include "local_response.hpp"
#include "peer_attempt.hpp"
#include "short_services.hpp"
#include "target_announcement.hpp"

namespace trefoil {
namespace {

/// A retry is not started with less time left than this.
constexpr duration min_time_for_retry = 30ms;
/// Once the target latency has passed, the useful time is the remaining time divided by this.
constexpr int late_queue_time_divisor = 4;
/// Retry delay when the chosen instances no longer exist or none is listed. New instances are
/// listed about a second after their start.
constexpr duration no_instance_retry = 1s;
/// Retry delay while the copy of the configuration is too old for requests with keys. A node that
/// has lost the registry asks again about this often.
constexpr duration stale_keys_retry = 500ms;

std::string ms_text(duration value) {
    return fmt::format("{:.0f}", to_ms(value));
}

/// Maps a refusal to the result that is reported to placement.
attempt_result to_attempt_result(const attempt_refusal& refused) {
    if (refused.reached_target) {
        return attempt_result::answered_error;
    }
    switch (refused.reason) {
    case refusal::chain_level:
    case refusal::quarantined:
        return attempt_result::cancelled;
    case refusal::target_down:
        return attempt_result::failed;
    case refusal::leaving:
    case refusal::no_instance:
        return attempt_result::refused_leaving;
    default:
        return attempt_result::refused_load;
    }
}

} // namespace

void outbound_call::serve(proxy_state& state, std::shared_ptr<http1::served_request> request) {
    const auto call = std::make_shared<outbound_call>(state, std::move(request));
    call->start();
}

outbound_call::outbound_call(proxy_state& state, std::shared_ptr<http1::served_request> request)
    : state_(state), request_(std::move(request)), arrived_(state.now()),
      body_(request_, state.bodies), timer_(state.loop, [this] {
          const auto self = shared_from_this();
          handle_timeout();
      }) {}

void outbound_call::start() {
    state_.last_request = arrived_;
    request_id_ =
        std::string(find_header(request_->head().headers, state_.settings.header_names.request_id));
    if (!read_terms() || !take_quota()) {
        return;
    }
    set_place_by_share(state_, arrived_, terms_);
    timer_.start(terms_.response_deadline - state_.now());
    const auto self = shared_from_this();
    request_->set_handlers({[self] { self->body_arrived(); },
                            [self] { self->handle_client_close(); },
                            [self] {
                                if (self->relay_ && self->attempt_) {
                                    self->relay_->resume(*self->attempt_->operation);
                                }
                            }});
    body_arrived();
}

bool outbound_call::read_terms() {
    auto read = read_call_terms(state_, request_->head(), request_id_, arrived_);
    if (auto* terms = std::get_if<call_terms>(&read)) {
        terms_ = std::move(*terms);
        return true;
    }
    reject(std::get<terms_problem>(read));
    return false;
}

bool outbound_call::take_quota() {
    if (terms_.limited_workspace == nullptr) {
        return true;
    }
    const auto decision = state_.quotas.admit(http1::boot_time(), terms_.workspace);
    if (state_.quotas.should_report_now()) {
        state_.tell_quota_use();
    }
    const auto* refused = std::get_if<quota_refusal>(&decision);
    is_counted_ = refused == nullptr;
    if (is_counted_) {
        return true;
    }
    state_.metrics.count_refusal(refusal::workspace_limit);
    answer(refusal_response(limit_retry_delay(refused->retry_after, state_.random), 429));
    end(call_result::refused, 429, name_of(refusal::workspace_limit));
    return false;
}

void outbound_call::reject(const terms_problem& problem) {
    key_digest_ = problem.key_digest;
    switch (problem.error) {
    case terms_error::no_config:
        refuse(refusal::no_table);
        return;
    case terms_error::stale_keys:
        retry_after_ = stale_keys_retry;
        refuse(refusal::stale_keys);
        return;
    case terms_error::unknown_run:
        refuse(refusal::cancelled);
        return;
    case terms_error::no_route:
        answer(local_response(404));
        end(call_result::refused, 404, "no_route");
        return;
    case terms_error::no_workspace:
        break;
    }
    auto head = local_response(401);
    head.headers.push_back(
        {"www-authenticate",
         challenge_for(state_.settings.header_names.credentials, problem.credentials)});
    answer(std::move(head));
    end(call_result::refused, 401, name_of(problem.credentials));
}

void outbound_call::body_arrived() {
    if (is_finished_) {
        return;
    }
    if (is_started_) {
        send_more_body();
        return;
    }
    is_started_ = body_.take_for_start();
    if (is_started_) {
        start_next_attempt();
    }
}

attempt* outbound_call::running_operation() const {
    return attempt_ ? attempt_->operation.get() : nullptr;
}

void outbound_call::send_more_body() {
    body_.forward(running_operation());
}

void outbound_call::handle_client_close() {
    if (is_finished_) {
        return;
    }
    end(call_result::abandoned, 0, "client_closed");
}

duration outbound_call::elapsed() const {
    return state_.now() - arrived_;
}

placement_request outbound_call::make_placement_request() const {
    return {terms_.service, terms_.matched_route->name, terms_.matched_route->target_latency,
            excluded_, state_.is_placed_by_work(terms_.service)};
}

run_terms outbound_call::current_terms() const {
    run_terms terms;
    terms.route = terms_.matched_route->name;
    terms.priority = terms_.priority;
    terms.request_bucket = terms_.request_bucket;
    terms.is_nested = terms_.parent.has_value();
    terms.is_retry = terms_.is_within_retry || reached_targets_ > 1;
    terms.repeats = terms_.matched_route->repeats;
    terms.workspace = terms_.workspace;
    terms.remaining = std::max<duration>(terms_.response_deadline - state_.now(), 1ms);
    const auto useful_time = terms_.matched_route->target_latency - elapsed();
    terms.useful_time =
        useful_time > duration{0} ? useful_time : terms.remaining / late_queue_time_divisor;
    return terms;
}

bool outbound_call::may_retry() {
    if (reached_targets_ >= terms_.matched_route->max_attempts ||
        attempt_count_ >= max_attempts_per_call) {
        return false;
    }
    if (may_have_run_ && !terms_.is_idempotent()) {
        return false;
    }
    if (attempt_count_ == 0) {
        return true;
    }
    return !body_.is_streamed() && terms_.response_deadline - state_.now() > min_time_for_retry;
}

void outbound_call::start_next_attempt() {
    if (state_.is_past_request_cutoff()) {
        last_refusal_ = refusal::leaving;
        finish_unserved();
        return;
    }
    if (!may_retry()) {
        finish_unserved();
        return;
    }
    const auto wait = attempt_count_ == 0 ? wait_for_room(state_, terms_) : std::nullopt;
    if (wait) {
        retry_after_ = *wait;
        last_refusal_ = refusal::chain_level;
        finish_unserved();
        return;
    }
    const auto instance =
        state_.placer.choose(state_.now(), state_.directory, make_placement_request());
    if (!instance) {
        if (last_refusal_ == refusal::none) {
            last_refusal_ = refusal::no_instance;
            retry_after_ = no_instance_retry;
        }
        finish_unserved();
        return;
    }
    const bool is_retry = reached_targets_ > 0;
    if (is_retry && !state_.retry_limiter.take(state_.now(), terms_.service, terms_.priority,
                                               terms_.request_bucket)) {
        state_.metrics.count_retry("not_allowed");
        finish_unserved();
        return;
    }
    start_attempt(*instance, is_retry);
}

http1::request_head outbound_call::make_head(const listed_instance& instance) const {
    const auto& original = request_->head();
    http1::request_head head;
    head.method = original.method;
    head.target = original.target;
    head.headers = terms_.headers;
    set_header(head.headers, state_.settings.header_names.expected_instance, instance.id.str());
    if (body_.is_complete()) {
        const bool has_body =
            body_.buffered_size() > 0 || original.framing != http1::body_framing::none;
        head.framing = has_body ? http1::body_framing::length : http1::body_framing::none;
        head.content_length = body_.buffered_size();
    } else {
        head.framing = original.framing;
        head.content_length = original.content_length;
    }
    return head;
}

void outbound_call::start_attempt(const listed_instance& instance, bool is_retry) {
    const auto now = state_.now();
    ++attempt_count_;
    ++reached_targets_;
    if (attempt_count_ > 1) {
        state_.metrics.count_retry(last_error_);
        state_.add_log_record(log_class::failure, [&] {
            return log_record{log_event::attempt_repeated,
                              {{"id", request_id_},
                               {"route", terms_.matched_route->name},
                               {"after", last_error_},
                               {"try", std::to_string(attempt_count_)},
                               {"instance", instance.id.str()},
                               {"elapsed_ms", ms_text(elapsed())}}};
        });
    }
    excluded_.push_back(instance.id);
    state_.placer.started(now, instance.id);
    attempt_ = running_attempt{instance.id, instance.started_at_ms, now, is_retry, nullptr};
    auto handler = [this](attempt_event event) { handle_event(std::move(event)); };
    if (instance.target == state_.settings.target) {
        auto made = state_.dispatcher.submit({make_head(instance), body_.copy_for_attempt(),
                                              body_.is_complete(), current_terms(), request_id_},
                                             std::move(handler));
        if (auto* refused = std::get_if<attempt_refusal>(&made)) {
            handle_event(*refused);
            return;
        }
        attempt_->operation = std::move(std::get<std::unique_ptr<attempt>>(made));
        attempt_->operation->set_drained_handler([this] { send_more_body(); });
        body_.note_held_bytes(running_operation());
        return;
    }
    const endpoint peer{instance.target.ip, state_.settings.peer_listener.port};
    attempt_->operation = start_peer_attempt(state_.peers, state_.settings.header_names,
                                             {peer, make_head(instance), body_.copy_for_attempt(),
                                              body_.is_complete(), current_terms(),
                                              state_.placer.rate_limit(instance.id)},
                                             std::move(handler));
    attempt_->operation->set_drained_handler([this] { send_more_body(); });
    body_.note_held_bytes(running_operation());
}

void outbound_call::handle_event(attempt_event event) {
    const auto self = shared_from_this();
    if (is_finished_ || !attempt_) {
        return;
    }
    std::visit(overloaded{[&](attempt_reply& reply) { handle_reply(std::move(reply)); },
                          [&](const http1::body_piece& piece) { handle_piece(piece); },
                          [&](const http1::message_end&) {
                              relay_->finish();
                              end(call_result::served, 0, "");
                          },
                          [&](const attempt_refusal& refused) { handle_refusal(refused); },
                          [&](const attempt_failure& failed) { handle_failure(failed); }},
               event);
}

void outbound_call::handle_refusal(const attempt_refusal& refused) {
    report_to_placement(to_attempt_result(refused), refused.load);
    if (refused.reason == refusal::leaving) {
        state_.placer.set_leaving(state_.now(), attempt_->instance);
    }
    if (!refused.reached_target) {
        --reached_targets_;
        if (attempt_->is_retry) {
            state_.retry_limiter.refund(state_.now(), terms_.service);
        }
    }
    last_refusal_ = refused.reason;
    last_refusal_reached_target_ = refused.reached_target;
    last_error_ = std::string(name_of(refused.reason));
    const bool is_gone = refused.reason == refusal::no_instance;
    retry_after_ = std::max(retry_after_, is_gone ? no_instance_retry : refused.retry_after);
    attempt_.reset();
    const bool concerns_all_instances =
        refused.reason == refusal::chain_level || refused.reason == refusal::quarantined;
    if (concerns_all_instances) {
        finish_unserved();
        return;
    }
    start_next_attempt();
}

void outbound_call::handle_failure(const attempt_failure& failed) {
    report_to_placement(attempt_result::failed, std::nullopt);
    if (relay_) {
        relay_->abort();
        end(call_result::failed, 0, name_of(failed.error));
        return;
    }
    may_have_run_ = true;
    last_error_ = std::string(name_of(failed.error));
    attempt_.reset();
    start_next_attempt();
}

void outbound_call::handle_reply(attempt_reply reply) {
    const bool is_error = reply.head.status >= 500;
    report_to_placement(is_error ? attempt_result::answered_error : attempt_result::answered,
                        reply.load);
    read_announcement(reply.head.headers);
    note_shortage(state_, terms_, reply.shortage);
    const bool is_retryable = is_error && reply.is_complete && terms_.is_idempotent() &&
                              reply.head.status != 504 &&
                              reply.downstream < downstream_state::failed && !fallback_;
    if (!is_retryable) {
        relay_reply(std::move(reply));
        return;
    }
    may_have_run_ = true;
    last_error_ = fmt::format("status_{}", reply.head.status);
    fallback_ = std::move(reply);
    attempt_.reset();
    start_next_attempt();
}

void outbound_call::read_announcement(const std::vector<http_header>& headers) {
    const auto& instance = attempt_->instance;
    const target_announcement current{state_.placer.rate_limit(instance), false};
    const auto updated = updated_announcement(current, state_.settings.header_names, headers);
    state_.placer.set_rate_limit(instance, updated.rate_limit);
    if (updated.is_leaving) {
        state_.set_leaving(instance, attempt_->instance_started_at_ms);
    }
}

void outbound_call::relay_reply(attempt_reply reply) {
    const auto status = reply.head.status;
    const bool is_complete = reply.is_complete;
    downstream_ = reply.downstream;
    body_.drop_buffered();
    body_.note_held_bytes(running_operation());
    relay_.emplace(request_);
    relay_->begin(std::move(reply), {});
    if (is_complete) {
        end(status < 500 ? call_result::served : call_result::target_error, status, "");
    }
}

void outbound_call::handle_piece(const http1::body_piece& piece) {
    relay_->forward(piece.bytes, *attempt_->operation);
}

void outbound_call::finish_unserved() {
    if (fallback_) {
        const auto status = fallback_->head.status;
        relay_.emplace(request_);
        relay_->begin(std::move(*fallback_), {});
        end(call_result::target_error, status, last_error_);
        return;
    }
    if (may_have_run_) {
        answer(local_response(502));
        end(call_result::failed, 502, last_error_);
        return;
    }
    refuse(last_refusal_);
}

void outbound_call::handle_timeout() {
    if (is_finished_) {
        return;
    }
    if (relay_) {
        check_late_response();
        return;
    }
    const bool may_have_run = may_have_run_ || (attempt_ && attempt_->operation->may_have_run());
    if (fallback_ || !may_have_run) {
        last_refusal_ = last_refusal_ == refusal::none ? refusal::deadline : last_refusal_;
        cancel_attempt();
        finish_unserved();
        return;
    }
    answer(local_response(504));
    end(call_result::timed_out, 504, "timeout");
}

void outbound_call::check_late_response() {
    const auto next_check = late_response_.check(state_.now(), *relay_, terms_.caller_deadline);
    if (!next_check) {
        relay_->abort();
        end(call_result::timed_out, 0, "timeout");
        return;
    }
    timer_.start(*next_check);
}

void outbound_call::refuse(refusal reason) {
    const bool is_shared = state_.dispatcher.shortages() != nullptr;
    const auto of_route = terms_.matched_route == nullptr ? 0 : terms_.matched_route->priority;
    const auto priority = is_shared ? terms_.priority : of_route;
    const auto retry = retry_delay(retry_after_, priority, state_.random);
    state_.metrics.count_refusal(reason);
    answer(refusal_response(retry));
    end(call_result::refused, refusal_status, name_of(reason));
}

void outbound_call::answer(http1::response_head head) {
    if (!request_id_.empty()) {
        head.headers.push_back({state_.settings.header_names.request_id, request_id_});
    }
    request_->respond(std::move(head), {});
}

void outbound_call::report_to_placement(attempt_result result,
                                        const std::optional<load_report>& load) {
    const auto now = state_.now();
    const auto request = make_placement_request();
    const bool is_local = attempt_->instance == state_.local_instance;
    const auto known_load =
        request.is_by_work && is_local && !load ? std::optional(state_.dispatcher.load()) : load;
    const auto change = state_.placer.finished(now, request, attempt_->instance,
                                               {result, now - attempt_->since, known_load});
    if (change.event == ejection_event::none) {
        return;
    }
    state_.add_log_record(log_class::state_change, [&] {
        return log_record{change.event == ejection_event::ejected ? log_event::instance_ejected
                                                                  : log_event::instance_returned,
                          {{"instance", change.instance.str()},
                           {"service", terms_.service.str()},
                           {"id", request_id_},
                           {"after", last_error_}}};
    });
}

void outbound_call::cancel_attempt() {
    if (attempt_) {
        report_to_placement(attempt_result::cancelled, std::nullopt);
        attempt_.reset();
    }
}

void outbound_call::report_to_parent(call_result result) {
    if (!terms_.parent || result == call_result::abandoned) {
        return;
    }
    if (result == call_result::served) {
        state_.dispatcher.report_call_result(*terms_.parent, downstream_ == downstream_state::busy
                                                                 ? downstream_state::busy
                                                                 : downstream_state::none);
        return;
    }
    const bool was_shed_by_target = last_refusal_reached_target_;
    const bool lacked_capacity =
        (result == call_result::refused && !was_shed_by_target) ||
        result == call_result::timed_out ||
        (result == call_result::target_error && downstream_ == downstream_state::no_room);
    state_.dispatcher.report_call_result(
        *terms_.parent, lacked_capacity ? downstream_state::no_room : downstream_state::failed);
}

void outbound_call::end(call_result result, int status, std::string_view cause) {
    const auto self = shared_from_this();
    is_finished_ = true;
    if (is_counted_ && result == call_result::refused) {
        state_.quotas.give_back(terms_.workspace);
    }
    body_.release();
    timer_.stop();
    report_to_parent(result);
    const auto took = elapsed();
    if (result == call_result::served && terms_.matched_route->target_latency > duration{0} &&
        took > terms_.matched_route->target_latency) {
        result = call_result::served_late;
    }
    const bool was_relayed = result == call_result::served || result == call_result::served_late ||
                             result == call_result::target_error;
    const std::string instance = attempt_ ? attempt_->instance.str() : "";
    if (was_relayed) {
        attempt_.reset();
    } else {
        cancel_attempt();
    }
    request_->set_handlers({});
    if (terms_.matched_route != nullptr) {
        count_share(state_, terms_, {result, status, took});
    }
    const std::string route_name =
        terms_.matched_route == nullptr ? "" : terms_.matched_route->name;
    state_.metrics.record_call(terms_.matched_route == nullptr ? "none" : route_name, result, took);
    state_.add_log_record(log_class_of(result), [&] {
        return to_record(
            {request_id_, route_name, terms_.service, instance, result, status, std::string(cause),
             attempt_count_, took,
             terms_.matched_route == nullptr ? duration{0} : terms_.response_deadline - arrived_,
             terms_.config_version, terms_.workspace, key_digest_});
    });
}

} // namespace trefoil
