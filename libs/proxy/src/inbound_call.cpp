#include "inbound_call.hpp"

#include <trefoil/base/overloaded.hpp>
#include <trefoil/http1/header_rules.hpp>

#include "local_response.hpp"

namespace trefoil {
void inbound_call::serve(proxy_state& state, std::shared_ptr<http1::served_request> request) {
    const auto call = std::make_shared<inbound_call>(state, std::move(request));
    call->start();
}

inbound_call::inbound_call(proxy_state& state, std::shared_ptr<http1::served_request> request)
    : state_(state), request_(std::move(request)), arrived_(state.now()),
      body_(request_, state.bodies) {}

void inbound_call::start() {
    const auto& headers = request_->head().headers;
    const auto& fields = state_.settings.header_names;
    request_id_ = std::string(find_header(headers, fields.request_id));
    const auto notice = find_header(headers, crash_field);
    if (!notice.empty()) {
        state_.crashes.receive_notice(decode_crash_notice(notice));
        request_->respond(local_response(200), {});
        is_finished_ = true;
        return;
    }
    const auto terms = decode_terms(find_header(headers, terms_field));
    const auto left = decode_milliseconds(find_header(headers, fields.remaining_time));
    if (!terms || !left) {
        answer(make_refusal(refusal::bad_request));
        return;
    }
    terms_ = *terms;
    terms_.remaining = *left;
    terms_.workspace = workspace_name(std::string(find_header(headers, fields.workspace)));
    if (const auto limit = decode_rate_limit(find_header(headers, limit_field))) {
        state_.dispatcher.apply_reported_limit(*limit);
    }
    const auto* local_entry = state_.directory.at_address(state_.settings.target);
    const bool is_leaving = state_.is_stopping || (local_entry != nullptr &&
                                                   local_entry->state == listed_state::draining);
    if (is_leaving) {
        answer(make_refusal(refusal::leaving));
        return;
    }
    const auto self = shared_from_this();
    request_->set_handlers({[self] { self->body_arrived(); },
                            [self] {
                                self->is_finished_ = true;
                                self->attempt_.reset();
                                self->body_.release();
                            },
                            [self] {
                                if (self->relay_ && self->attempt_ != nullptr) {
                                    self->relay_->resume(*self->attempt_);
                                }
                            }});
    body_arrived();
}

void inbound_call::body_arrived() {
    if (is_finished_) {
        return;
    }
    if (is_submitted_) {
        send_more_body();
        return;
    }
    if (body_.take_for_start()) {
        submit();
    }
}

void inbound_call::send_more_body() {
    body_.forward(attempt_.get());
}

target_request inbound_call::make_target_request() {
    const auto& original = request_->head();
    target_request made;
    made.head.method = original.method;
    made.head.target = original.target;
    made.head.headers = end_to_end_headers(original.headers);
    std::erase_if(made.head.headers,
                  [](const http_header& field) { return is_peer_field(field.name); });
    made.head.framing = original.framing;
    made.head.content_length = original.content_length;
    made.body = body_.move_to_attempt();
    made.is_body_complete = body_.is_complete();
    made.terms = terms_;
    made.terms.remaining = std::max<duration>(terms_.remaining - (state_.now() - arrived_), 1ms);
    made.request_id = request_id_;
    return made;
}

void inbound_call::submit() {
    if (state_.is_stopping) {
        answer(make_refusal(refusal::leaving));
        return;
    }
    is_submitted_ = true;
    auto made = state_.dispatcher.submit(
        make_target_request(), [this](attempt_event event) { handle_event(std::move(event)); });
    if (auto* refused = std::get_if<attempt_refusal>(&made)) {
        handle_event(*refused);
        return;
    }
    attempt_ = std::move(std::get<std::unique_ptr<attempt>>(made));
    attempt_->set_drained_handler([this] { send_more_body(); });
    body_.note_held_bytes(attempt_.get());
}

void inbound_call::handle_event(attempt_event event) {
    const auto self = shared_from_this();
    if (is_finished_) {
        return;
    }
    std::visit(
        overloaded{[&](attempt_reply& reply) {
                       const bool is_complete = reply.is_complete;
                       auto extra = load_header();
                       if (reply.downstream != downstream_state::none) {
                           extra.push_back({std::string(downstream_field),
                                            std::string(encode_downstream(reply.downstream))});
                       }
                       if (reply.shortage) {
                           extra.push_back(
                               {std::string(shortage_field), encode_shortage(*reply.shortage)});
                       }
                       relay_.emplace(request_);
                       relay_->begin(std::move(reply), extra);
                       if (is_complete) {
                           end();
                       }
                   },
                   [&](const http1::body_piece& piece) { relay_->forward(piece.bytes, *attempt_); },
                   [&](const http1::message_end&) {
                       relay_->finish();
                       end();
                   },
                   [&](const attempt_refusal& refused) { answer(refused); },
                   [&](const attempt_failure& failed) {
                       if (relay_) {
                           relay_->abort();
                           end();
                       } else {
                           answer(failed);
                       }
                   }},
        event);
}

std::vector<http_header> inbound_call::load_header() const {
    return {{std::string(load_field), encode_load(state_.dispatcher.load())}};
}

void inbound_call::answer(const peer_verdict& verdict) {
    const auto* refused = std::get_if<attempt_refusal>(&verdict);
    auto head = local_response(refused != nullptr ? 503 : 502);
    head.headers = load_header();
    head.headers.push_back({std::string(verdict_field), encode_verdict(verdict)});
    if (refused != nullptr) {
        state_.metrics.count_refusal(refused->reason);
    }
    state_.add_log_record(log_class::failure, [&] {
        const auto load = state_.dispatcher.load();
        return log_record{refused != nullptr ? log_event::run_refused : log_event::run_failed,
                          {{"id", request_id_},
                           {"route", terms_.route},
                           {"verdict", encode_verdict(verdict)},
                           {"in_flight", std::to_string(load.in_flight)},
                           {"queued", std::to_string(load.queued)},
                           {"limit", std::to_string(load.limit)}}};
    });
    request_->respond(std::move(head), {});
    end();
}

void inbound_call::end() {
    const auto self = shared_from_this();
    is_finished_ = true;
    attempt_.reset();
    body_.release();
    request_->set_handlers({});
}

} // namespace trefoil
