#include "target_dispatcher.hpp"

#include <algorithm>
#include <limits>
#include <utility>

#include <trefoil/admission/admission_position.hpp>
#include <trefoil/base/overloaded.hpp>
#include <trefoil/http1/header_rules.hpp>
#include <trefoil/traffic/usable_slots.hpp>

#include "reply_collector.hpp"
#include "target_response.hpp"

namespace trefoil {
namespace {

/// Slots of a target that has not registered yet.
constexpr std::uint32_t unregistered_slots = 16;
/// Position of a caller's own request within its priority; calls of targets go before them.
constexpr std::uint32_t caller_position = positions_per_priority / 2;
constexpr std::uint32_t highest_priority_number = 9;
/// A request that can't be repeated gets a connection that was used so lately, or a new one.
constexpr std::chrono::milliseconds fresh_connection{1500};
constexpr std::chrono::milliseconds target_connect_timeout{1000};
/// Kept connections to the target.
constexpr http1::client_limits connection_limits{256, std::chrono::milliseconds(8000)};

/// Share of the useful time that a request may spend in the queue.
constexpr double queue_share = 0.6;

duration patience_of(const run_terms& terms) {
    const auto useful = std::min(terms.useful, terms.remaining);
    return duration(static_cast<duration::rep>(static_cast<double>(useful.count()) * queue_share));
}

admission_settings gate_settings() {
    admission_settings settings;
    settings.slots = unregistered_slots;
    settings.connections = std::numeric_limits<std::uint32_t>::max();
    settings.policy.level = false;
    settings.policy.chain_level = false;
    settings.policy.wait_refusal = true;
    return settings;
}

std::uint32_t position_of(const run_terms& terms) {
    const auto priority = std::min(terms.priority, highest_priority_number);
    return priority * positions_per_priority + (terms.is_nested ? 0 : caller_position) +
           terms.share;
}

request_print print_in(const call_fields& fields, const gate_request& request) {
    const auto caller = find_header(request.head.headers, fields.caller_service);
    return print_of(request.head.method, request.head.target, caller, request.body);
}

} // namespace

/// A request that waits for its turn or runs.
class target_gate::run : public attempt {
public:
    run(target_gate& gate, call_id call, request_print print, gate_request request,
        attempt_handler on_event)
        : gate_(gate), call_(call), request_(std::move(request)), on_event_(std::move(on_event)),
          print_(print), arrived_(gate.now()) {}

    ~run() override {
        gate_.runs_.erase(call_);
        forget_running();
        if (!is_over_) {
            exchange_.reset();
            gate_.give_up(call_, started_);
        }
    }

    void send_body(std::string_view bytes) override {
        if (exchange_ != nullptr) {
            exchange_->send_body(bytes);
        } else {
            request_.body += bytes;
        }
    }
    void finish_body() override {
        request_.is_body_complete = true;
        if (exchange_ != nullptr) {
            exchange_->finish_body();
        }
    }
    std::size_t unsent() const override {
        return exchange_ != nullptr ? exchange_->unsent() : request_.body.size();
    }
    bool may_have_run() const override { return exchange_ != nullptr || is_over_; }
    void pause() override {
        if (exchange_ != nullptr) {
            exchange_->pause();
        }
    }
    void resume() override {
        if (exchange_ != nullptr) {
            exchange_->resume();
        }
    }

    /// The request's turn has come.
    void start() {
        started_ = gate_.now();
        gate_.running_[request_.request_id] = this;
        const auto waited = started_ - arrived_;
        const auto left = std::max<duration>(request_.terms.remaining - waited, 1ms);
        set_header(request_.head.headers, gate_.fields_.time_left, encode_milliseconds(left));
        http1::exchange_options options;
        options.connect_timeout = target_connect_timeout;
        if (request_.terms.repeats == repeatability::at_most_once) {
            options.max_idle = fresh_connection;
        }
        options.is_expected = [this](const http1::response_head& head) {
            const auto echoed = find_header(head.headers, gate_.fields_.request_id);
            return echoed.empty() || echoed == request_.request_id;
        };
        exchange_ = gate_.client_.start(
            gate_.target_, request_.head, request_.body, request_.is_body_complete,
            std::move(options), [this](http1::exchange_event event) { take(std::move(event)); });
        request_.body.clear();
    }

    void refuse(refusal reason) {
        is_over_ = true;
        emit(gate_.refused(reason, position_of(request_.terms)));
    }

    const run_terms& terms() const { return request_.terms; }

    void call_ended(state_below below) {
        if (below <= below_) {
            return;
        }
        below_ = below;
        if (below == state_below::no_room) {
            note_below(room_below::refused);
        }
    }

private:
    void take(http1::exchange_event event) {
        auto passed = collector_.take(std::move(event));
        if (!passed) {
            return;
        }
        auto& gate = gate_;
        std::visit(overloaded{[&](attempt_reply& reply) { judge(std::move(reply)); },
                              [&](http1::body_piece& piece) { emit(std::move(piece)); },
                              [&](http1::message_end& end) {
                                  end_run(service_end::answered);
                                  emit(end);
                              },
                              [&](attempt_refusal& refused) {
                                  end_run(service_end::failed);
                                  emit(refused);
                              },
                              [&](attempt_failure& failed) {
                                  end_run(service_end::errored);
                                  if (failed.problem == attempt_problem::connection_lost) {
                                      gate.crashes_.lost(print_);
                                  }
                                  emit(failed);
                              }},
                   *passed);
        // The handler may have destroyed this run.
        gate.advance();
    }

    void judge(attempt_reply reply) {
        const bool is_complete = reply.is_complete;
        const bool is_error = reply.head.status >= 500;
        reply.below = is_error ? below_ : std::min(below_, state_below::busy);
        if (request_.terms.is_nested && gate_.is_busy_for(request_.terms)) {
            reply.below = std::max(reply.below, state_below::busy);
        }
        auto judged = judge_target_answer(gate_.fields_, request_.terms.repeats, std::move(reply));
        if (auto* refused = std::get_if<attempt_refusal>(&judged)) {
            // Fewer requests than the target's slots were handed to it, so that it does not refuse
            // for want of them.
            end_run(service_end::errored);
            refused->load = gate_.load();
        } else if (std::holds_alternative<attempt_failure>(judged)) {
            end_run(service_end::errored);
        } else if (is_complete) {
            end_run(is_error ? service_end::errored : service_end::answered);
            gate_.crashes_.completed(print_);
        }
        emit(std::move(judged));
    }

    /// Tells the level what the calls of this run have shown.
    void note_below(room_below seen) {
        const auto& terms = request_.terms;
        if (!terms.is_nested) {
            gate_.downstream_.note(gate_.now(), terms.route, terms.priority, seen);
        }
    }

    void forget_running() {
        const auto found = gate_.running_.find(request_.request_id);
        if (found != gate_.running_.end() && found->second == this) {
            gate_.running_.erase(found);
        }
    }

    /// The target is done with the request; its slot is free.
    void end_run(service_end end) {
        is_over_ = true;
        if (below_ != state_below::no_room) {
            note_below(below_ == state_below::busy ? room_below::busy : room_below::clear);
        }
        forget_running();
        exchange_.reset();
        gate_.admission_.finished(gate_.now(), call_, {gate_.now() - started_, end});
    }

    void emit(attempt_event event) {
        const auto handler = on_event_;
        handler(std::move(event));
    }

    target_gate& gate_;
    call_id call_;
    gate_request request_;
    attempt_handler on_event_;
    request_print print_;
    time_point arrived_;
    time_point started_;
    std::unique_ptr<http1::exchange> exchange_;
    reply_collector collector_;
    bool is_over_ = false;
    state_below below_ = state_below::none;
};

target_gate::target_gate(uv_loop_s* loop, endpoint target, const call_fields& fields,
                         crash_watch& crashes)
    : loop_(loop), target_(std::move(target)), fields_(fields), crashes_(crashes),
      client_(loop, connection_limits), admission_(gate_settings()), timer_(loop, [this] {
          tell_refused();
          advance();
      }) {}

time_point target_gate::now() const {
    return http1::loop_time(loop_);
}

std::variant<std::unique_ptr<attempt>, attempt_refusal>
target_gate::submit(gate_request request, attempt_handler on_event) {
    const call_id call{next_call_++};
    const auto position = position_of(request.terms);
    const auto& terms = request.terms;
    const auto print = print_in(fields_, request);
    if (crashes_.is_blocked(print)) {
        return refused(refusal::quarantined, position);
    }
    // A nested call has cost its whole request work already, so only the first leg is held back.
    if (!terms.is_nested && !downstream_.admits(now(), terms.route, terms.priority, terms.share)) {
        return refused(refusal::chain_level, position);
    }
    admission_request offered;
    offered.call = call;
    offered.kind = request.terms.route;
    offered.position = position;
    offered.deadline = now() + request.terms.remaining;
    offered.kind_limit = std::numeric_limits<std::uint32_t>::max();
    offered.patience = patience_of(request.terms);
    const auto verdict = admission_.offer(now(), offered);
    if (verdict != refusal::none) {
        return refused(verdict, position);
    }
    auto made = std::make_unique<run>(*this, call, print, std::move(request), std::move(on_event));
    runs_.emplace(call, made.get());
    advance();
    return made;
}

const run_terms* target_gate::terms_of_run(const std::string& request_id) const {
    const auto found = running_.find(request_id);
    return found == running_.end() ? nullptr : &found->second->terms();
}

void target_gate::call_ended(const std::string& request_id, state_below below) {
    const auto found = running_.find(request_id);
    if (found != running_.end()) {
        found->second->call_ended(below);
    }
}

bool target_gate::is_busy_for(const run_terms& terms) const {
    const auto waiting = admission_.standing_position(now());
    return waiting &&
           std::min(terms.priority, highest_priority_number) >= *waiting / positions_per_priority;
}

attempt_refusal target_gate::refused(refusal reason, std::uint32_t position) const {
    attempt_refusal result;
    result.reason = reason;
    result.load = load();
    result.retry_after = admission_.expected_wait(position);
    return result;
}

void target_gate::advance() {
    for (const auto& change : admission_.advance(now())) {
        const auto found = runs_.find(change.call);
        if (found == runs_.end()) {
            continue;
        }
        if (change.reason == refusal::none) {
            found->second->start();
        } else {
            refused_.push_back({change.call, change.reason});
        }
    }
    arm_timer();
}

void target_gate::tell_refused() {
    const auto refused = std::exchange(refused_, {});
    for (const auto& entry : refused) {
        const auto found = runs_.find(entry.call);
        if (found != runs_.end()) {
            found->second->refuse(entry.reason);
        }
    }
}

void target_gate::give_up(call_id call, time_point since) {
    if (!admission_.withdraw(call)) {
        admission_.finished(now(), call, {now() - since, service_end::given_up});
    }
    // Others take the slot from the loop, since this may be called while a handler runs.
    timer_.start(0ms);
}

void target_gate::arm_timer() {
    if (!refused_.empty()) {
        timer_.start(0ms);
        return;
    }
    const auto next = admission_.next_deadline();
    if (!next) {
        timer_.stop();
        return;
    }
    timer_.start(*next - now());
}

void target_gate::set_slots(std::uint32_t slots) {
    admission_.set_slots(usable_slots(slots));
    advance();
}

void target_gate::set_cold() {
    admission_.target_changed(now(), false);
    admission_.target_changed(now(), true);
}

load_report target_gate::load() const {
    return admission_.load();
}

void target_gate::sweep() {
    client_.sweep();
}

} // namespace trefoil
