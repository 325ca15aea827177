#include "outbound_call.hpp"

#include <algorithm>

#include <fmt/format.h>

#include <trefoil/base/overloaded.hpp>
#include <trefoil/http1/header_rules.hpp>

#include "finished_call.hpp"
#include "local_response.hpp"
#include "peer_attempt.hpp"

namespace trefoil {
namespace {

/// Nodes that are asked at most for one request, most of which refuse before their target.
constexpr std::uint32_t max_tries = 5;
/// A repeat is not begun with less time left than this.
constexpr duration least_time_for_repeat = 30ms;
/// Share of the remaining time that a request may be queued once its target latency is over.
constexpr int late_patience_divisor = 4;
/// Retry time when the instances that are listed are gone or none is: new ones are listed about a
/// second after their start.
constexpr duration no_instance_retry = 1s;

std::string ms_text(duration value) {
    return fmt::format("{:.0f}", to_ms(value));
}

attempt_result placement_end(const attempt_refusal& refused) {
    if (refused.reached_target) {
        return attempt_result::answered_error;
    }
    switch (refused.reason) {
    case refusal::chain_level:
    case refusal::quarantined:
        return attempt_result::withdrawn;
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
      timer_(state.loop, [this] {
          const auto self = shared_from_this();
          time_out();
      }) {}

void outbound_call::start() {
    state_.last_request = arrived_;
    request_id_ =
        std::string(find_header(request_->head().headers, state_.settings.fields.request_id));
    if (!read_terms()) {
        return;
    }
    timer_.start(terms_.give_up_at - state_.now());
    const auto self = shared_from_this();
    request_->set_handlers({[self] { self->body_arrived(); }, [self] { self->client_gone(); },
                            [self] {
                                if (self->relay_ && self->try_) {
                                    self->relay_->resume(*self->try_->work);
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
    if (std::get<no_terms>(read) == no_terms::no_config) {
        refuse(refusal::no_table);
    } else {
        answer(own_answer(404));
        end(call_end::refused, 404, "no_route");
    }
    return false;
}

void outbound_call::body_arrived() {
    if (is_over_) {
        return;
    }
    if (is_started_) {
        send_more_body();
        return;
    }
    if (!request_->is_body_complete() && request_->body_size() <= max_held_body_bytes) {
        return;
    }
    is_started_ = true;
    is_body_whole_ = request_->is_body_complete();
    is_body_streamed_ = !is_body_whole_;
    body_ = request_->take_body();
    next_try();
}

void outbound_call::send_more_body() {
    if (is_body_whole_ || !try_) {
        return;
    }
    auto& work = *try_->work;
    work.send_body(request_->take_body());
    if (request_->is_body_complete()) {
        is_body_whole_ = true;
        body_.clear();
        work.finish_body();
    }
}

void outbound_call::client_gone() {
    if (is_over_) {
        return;
    }
    end(call_end::abandoned, 0, "client_closed");
}

duration outbound_call::elapsed() const {
    return state_.now() - arrived_;
}

placement_request outbound_call::place_request() const {
    return {terms_.service, terms_.via->name, terms_.via->target_latency, excluded_};
}

run_terms outbound_call::terms_now() const {
    run_terms terms;
    terms.route = terms_.via->name;
    terms.priority = terms_.priority;
    terms.share = terms_.share;
    terms.is_nested = terms_.parent.has_value();
    terms.is_repeat = terms_.is_in_repeat || reached_targets_ > 1;
    terms.repeats = terms_.via->repeats;
    terms.remaining = std::max<duration>(terms_.give_up_at - state_.now(), 1ms);
    const auto useful = terms_.via->target_latency - elapsed();
    terms.useful = useful > duration{0} ? useful : terms.remaining / late_patience_divisor;
    return terms;
}

bool outbound_call::may_repeat() {
    if (reached_targets_ >= terms_.via->max_attempts || tries_made_ >= max_tries) {
        return false;
    }
    if (may_have_run_ && !terms_.is_idempotent()) {
        return false;
    }
    if (tries_made_ == 0) {
        return true;
    }
    return !is_body_streamed_ && terms_.give_up_at - state_.now() > least_time_for_repeat;
}

void outbound_call::next_try() {
    if (!may_repeat()) {
        conclude();
        return;
    }
    const auto instance = state_.places.choose(state_.now(), state_.directory, place_request());
    if (!instance) {
        if (last_refusal_ == refusal::none) {
            last_refusal_ = refusal::no_instance;
            retry_after_ = no_instance_retry;
        }
        conclude();
        return;
    }
    const bool is_repeat = reached_targets_ > 0;
    if (is_repeat &&
        !state_.repeats.take(state_.now(), terms_.service, terms_.priority, terms_.share)) {
        state_.metrics.repeated("not_allowed");
        conclude();
        return;
    }
    begin_try(*instance, is_repeat);
}

http1::request_head outbound_call::head_for(const listed_instance& instance) const {
    const auto& original = request_->head();
    http1::request_head head;
    head.method = original.method;
    head.target = original.target;
    head.headers = terms_.headers;
    set_header(head.headers, state_.settings.fields.expected_instance, instance.id.str());
    if (is_body_whole_) {
        const bool has_body = !body_.empty() || original.framing != http1::body_end::none;
        head.framing = has_body ? http1::body_end::length : http1::body_end::none;
        head.content_length = body_.size();
    } else {
        head.framing = original.framing;
        head.content_length = original.content_length;
    }
    return head;
}

void outbound_call::begin_try(const listed_instance& instance, bool is_repeat) {
    const auto now = state_.now();
    ++tries_made_;
    ++reached_targets_;
    if (tries_made_ > 1) {
        state_.metrics.repeated(last_problem_);
        state_.note(log_class::trouble, [&] {
            return log_record{log_event::attempt_repeated,
                              {{"id", request_id_},
                               {"route", terms_.via->name},
                               {"after", last_problem_},
                               {"try", std::to_string(tries_made_)},
                               {"instance", instance.id.str()},
                               {"elapsed_ms", ms_text(elapsed())}}};
        });
    }
    excluded_.push_back(instance.id);
    state_.places.started(now, instance.id);
    try_ = running_try{instance.id, now, is_repeat, nullptr};
    auto handler = [this](attempt_event event) { take(std::move(event)); };
    if (instance.target == state_.settings.target) {
        auto made = state_.gate.submit(
            {head_for(instance), body_, is_body_whole_, terms_now(), request_id_},
            std::move(handler));
        if (auto* refused = std::get_if<attempt_refusal>(&made)) {
            take(*refused);
            return;
        }
        try_->work = std::move(std::get<std::unique_ptr<attempt>>(made));
        return;
    }
    const endpoint peer{instance.target.ip, state_.settings.peer_listener.port};
    try_->work = start_peer_attempt(state_.peers, state_.settings.fields,
                                    {peer, head_for(instance), body_, is_body_whole_, terms_now()},
                                    std::move(handler));
}

void outbound_call::take(attempt_event event) {
    const auto self = shared_from_this();
    if (is_over_ || !try_) {
        return;
    }
    std::visit(overloaded{[&](attempt_reply& reply) { take_reply(std::move(reply)); },
                          [&](const http1::body_piece& piece) { take_piece(piece); },
                          [&](const http1::message_end&) {
                              relay_->finish();
                              end(call_end::served, 0, "");
                          },
                          [&](const attempt_refusal& refused) { take_refusal(refused); },
                          [&](const attempt_failure& failed) { take_failure(failed); }},
               event);
}

void outbound_call::take_refusal(const attempt_refusal& refused) {
    note_placement(placement_end(refused), refused.load);
    if (refused.reason == refusal::leaving) {
        state_.places.set_leaving(state_.now(), try_->instance);
    }
    if (!refused.reached_target) {
        --reached_targets_;
        if (try_->is_repeat) {
            state_.repeats.give_back(state_.now(), terms_.service);
        }
    }
    last_refusal_ = refused.reason;
    last_refusal_reached_target_ = refused.reached_target;
    last_problem_ = std::string(name_of(refused.reason));
    const bool is_gone = refused.reason == refusal::no_instance;
    retry_after_ = std::max(retry_after_, is_gone ? no_instance_retry : refused.retry_after);
    try_.reset();
    const bool concerns_all_instances =
        refused.reason == refusal::chain_level || refused.reason == refusal::quarantined;
    if (concerns_all_instances) {
        conclude();
        return;
    }
    next_try();
}

void outbound_call::take_failure(const attempt_failure& failed) {
    note_placement(attempt_result::failed, std::nullopt);
    if (relay_) {
        relay_->abort();
        end(call_end::failed, 0, name_of(failed.problem));
        return;
    }
    may_have_run_ = true;
    last_problem_ = std::string(name_of(failed.problem));
    try_.reset();
    next_try();
}

void outbound_call::take_reply(attempt_reply reply) {
    const bool is_error = reply.head.status >= 500;
    note_placement(is_error ? attempt_result::answered_error : attempt_result::answered,
                   reply.load);
    const bool is_worth_repeating = is_error && reply.is_complete && terms_.is_idempotent() &&
                                    reply.head.status != 504 && reply.below < state_below::failed &&
                                    !fallback_;
    if (!is_worth_repeating) {
        deliver(std::move(reply));
        return;
    }
    may_have_run_ = true;
    last_problem_ = fmt::format("status_{}", reply.head.status);
    fallback_ = std::move(reply);
    try_.reset();
    next_try();
}

void outbound_call::deliver(attempt_reply reply) {
    const auto status = reply.head.status;
    const bool is_complete = reply.is_complete;
    below_ = reply.below;
    relay_.emplace(request_);
    relay_->begin(std::move(reply), {});
    if (is_complete) {
        end(status < 500 ? call_end::served : call_end::target_error, status, "");
    }
}

void outbound_call::take_piece(const http1::body_piece& piece) {
    relay_->pass(piece.bytes, *try_->work);
}

void outbound_call::conclude() {
    if (fallback_) {
        const auto status = fallback_->head.status;
        relay_.emplace(request_);
        relay_->begin(std::move(*fallback_), {});
        end(call_end::target_error, status, last_problem_);
        return;
    }
    if (may_have_run_) {
        answer(own_answer(502));
        end(call_end::failed, 502, last_problem_);
        return;
    }
    refuse(last_refusal_);
}

void outbound_call::time_out() {
    if (is_over_) {
        return;
    }
    if (relay_) {
        // The answer is on its way and is delivered late.
        return;
    }
    const bool may_have_run = may_have_run_ || (try_ && try_->work->may_have_run());
    if (fallback_ || !may_have_run) {
        last_refusal_ = last_refusal_ == refusal::none ? refusal::deadline : last_refusal_;
        drop_try();
        conclude();
        return;
    }
    answer(own_answer(504));
    end(call_end::timed_out, 504, "timeout");
}

void outbound_call::refuse(refusal reason) {
    const auto priority = terms_.via == nullptr ? 0 : terms_.via->priority;
    const auto retry = retry_time(retry_after_, priority, state_.random);
    state_.metrics.refused_here(reason);
    answer(refusal_answer(retry));
    end(call_end::refused, 503, name_of(reason));
}

void outbound_call::answer(http1::response_head head) {
    if (!request_id_.empty()) {
        head.headers.push_back({state_.settings.fields.request_id, request_id_});
    }
    request_->respond(std::move(head), {});
}

void outbound_call::note_placement(attempt_result result, const std::optional<load_report>& load) {
    const auto now = state_.now();
    const auto change = state_.places.finished(now, place_request(), try_->instance,
                                               {result, now - try_->since, load});
    if (change.event == ejection_event::none) {
        return;
    }
    state_.note(log_class::state, [&] {
        return log_record{change.event == ejection_event::ejected ? log_event::instance_ejected
                                                                  : log_event::instance_returned,
                          {{"instance", change.instance.str()},
                           {"service", terms_.service.str()},
                           {"id", request_id_},
                           {"after", last_problem_}}};
    });
}

void outbound_call::drop_try() {
    if (try_) {
        note_placement(attempt_result::withdrawn, std::nullopt);
        try_.reset();
    }
}

void outbound_call::tell_parent(call_end how) {
    if (!terms_.parent || how == call_end::abandoned) {
        return;
    }
    if (how == call_end::served) {
        state_.gate.call_ended(*terms_.parent,
                               below_ == state_below::busy ? state_below::busy : state_below::none);
        return;
    }
    const bool was_shed_by_target = last_refusal_reached_target_;
    const bool for_want_of_room = (how == call_end::refused && !was_shed_by_target) ||
                                  how == call_end::timed_out ||
                                  (how == call_end::target_error && below_ == state_below::no_room);
    state_.gate.call_ended(*terms_.parent,
                           for_want_of_room ? state_below::no_room : state_below::failed);
}

void outbound_call::end(call_end how, int status, std::string_view cause) {
    const auto self = shared_from_this();
    is_over_ = true;
    timer_.stop();
    tell_parent(how);
    const auto took = elapsed();
    if (how == call_end::served && terms_.via->target_latency > duration{0} &&
        took > terms_.via->target_latency) {
        how = call_end::served_late;
    }
    const bool was_relayed =
        how == call_end::served || how == call_end::served_late || how == call_end::target_error;
    const std::string instance = try_ ? try_->instance.str() : "";
    if (was_relayed) {
        try_.reset();
    } else {
        drop_try();
    }
    request_->set_handlers({});
    const std::string route_name = terms_.via == nullptr ? "" : terms_.via->name;
    state_.metrics.ended(terms_.via == nullptr ? "none" : route_name, how, took);
    state_.note(class_of(how), [&] {
        return to_record({request_id_, route_name, terms_.service, instance, how, status,
                          std::string(cause), tries_made_, took,
                          terms_.via == nullptr ? duration{0} : terms_.give_up_at - arrived_,
                          terms_.config_version});
    });
}

} // namespace trefoil
