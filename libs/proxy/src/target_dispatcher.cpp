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

/// Number of slots assumed for a target that is not registered yet.
constexpr std::uint32_t unregistered_slots = 16;
/// Position of a caller's own request within its priority. Calls made by targets have smaller
/// positions and are served first.
constexpr std::uint32_t caller_position = positions_per_priority / 2;
/// Lowest priority that is distinguished. Priorities with a higher number are treated as this one.
constexpr std::uint32_t highest_priority_number = 9;
/// Maximum idle time of a pooled connection for a request that cannot be repeated. If no connection
/// was used this recently, a new one is opened.
constexpr std::chrono::milliseconds non_idempotent_max_idle{1500};
constexpr std::chrono::milliseconds target_connect_timeout{1000};
/// Limits of the connection pool to the target.
constexpr http1::connection_pool_limits connection_limits{256, std::chrono::milliseconds(8000)};

/// Share of the useful time that a request may spend in the queue.
constexpr double queue_share = 0.6;

/// Returns the longest time that a request may be queued.
duration max_queue_time(const run_terms& terms) {
    const auto useful_time = std::min(terms.useful_time, terms.remaining);
    return duration(
        static_cast<duration::rep>(static_cast<double>(useful_time.count()) * queue_share));
}

admission_settings make_admission_settings() {
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
           terms.request_bucket;
}

/// Returns the fingerprint of the request, by which requests that crash targets are quarantined.
request_fingerprint fingerprint_of(const header_field_names& fields,
                                   const target_request& request) {
    const auto caller = find_header(request.head.headers, fields.caller_service);
    return request_fingerprint_of(request.head.method, request.head.target, caller, request.body);
}

} // namespace

/// A request that is queued or running.
class target_dispatcher::run : public attempt {
public:
    run(target_dispatcher& dispatcher, call_id call, request_fingerprint fingerprint,
        target_request request, attempt_handler on_event)
        : dispatcher_(dispatcher), call_(call), request_(std::move(request)),
          on_event_(std::move(on_event)), fingerprint_(fingerprint), arrived_(dispatcher.now()) {}

    ~run() override {
        dispatcher_.runs_.erase(call_);
        remove_from_running();
        if (!is_finished_) {
            exchange_.reset();
            dispatcher_.cancel(call_, started_);
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
    std::size_t unsent_bytes() const override {
        return exchange_ != nullptr ? exchange_->unsent_bytes() : request_.body.size();
    }
    void set_drained_handler(std::function<void()> on_drained) override {
        on_drained_ = std::move(on_drained);
        if (exchange_ != nullptr) {
            exchange_->set_drained_handler(on_drained_);
        }
    }
    bool may_have_run() const override { return exchange_ != nullptr || is_finished_; }
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

    /// Sends the request to the target.
    void start() {
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

    void refuse(refusal reason) {
        is_finished_ = true;
        emit(dispatcher_.refused(reason, position_of(request_.terms)));
    }

    const run_terms& terms() const { return request_.terms; }
    const http1::request_head& head() const { return request_.head; }

    void report_call_result(downstream_state downstream) {
        if (downstream <= downstream_) {
            return;
        }
        downstream_ = downstream;
        if (downstream == downstream_state::no_room) {
            report_downstream(downstream_congestion::refused);
        }
    }

private:
    void handle_event(http1::exchange_event event) {
        if (const auto* head = std::get_if<http1::response_head>(&event)) {
            dispatcher_.read_announcement(head->headers);
        }
        auto passed = collector_.handle(std::move(event));
        if (!passed) {
            return;
        }
        auto& dispatcher = dispatcher_;
        std::visit(overloaded{[&](attempt_reply& reply) { classify(std::move(reply)); },
                              [&](http1::body_piece& piece) { emit(std::move(piece)); },
                              [&](http1::message_end& end) {
                                  end_run(service_status::answered);
                                  emit(end);
                              },
                              [&](attempt_refusal& refused) {
                                  end_run(service_status::failed);
                                  emit(refused);
                              },
                              [&](attempt_failure& failed) {
                                  if (failed.error == attempt_error::bad_answer) {
                                      report_answer(answer_fate::unusable,
                                                    name_of(exchange_->use().fault), nullptr);
                                  }
                                  end_run(service_status::application_error);
                                  if (failed.error == attempt_error::connection_lost) {
                                      dispatcher.crashes_.report_lost(fingerprint_);
                                  }
                                  emit(failed);
                              }},
                   *passed);
        // The handler may have destroyed this run.
        dispatcher.advance();
    }

    void classify(attempt_reply reply) {
        const bool is_complete = reply.is_complete;
        const bool is_error = reply.head.status >= 500;
        reply.downstream = is_error ? downstream_ : std::min(downstream_, downstream_state::busy);
        if (request_.terms.is_nested && dispatcher_.is_busy_for(request_.terms)) {
            reply.downstream = std::max(reply.downstream, downstream_state::busy);
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

    /// Reports what becomes of an answer; `head` is null if none was read.
    void report_answer(answer_fate fate, std::string_view cause, const http1::response_head* head) {
        target_answer_report report{
            fate, std::string(cause), request_.request_id, exchange_->use(), 0, {}, {}};
        if (head != nullptr) {
            describe_head(report, dispatcher_.fields_, *head);
        }
        dispatcher_.on_answer_(report);
    }

    /// Reports to the downstream limiter what the calls of this run showed.
    void report_downstream(downstream_congestion seen) {
        const auto& terms = request_.terms;
        if (!terms.is_nested) {
            dispatcher_.downstream_limiter_.note(dispatcher_.now(), terms.route, terms.priority,
                                                 seen);
        }
    }

    void remove_from_running() {
        const auto [first, last] = dispatcher_.running_.equal_range(request_.request_id);
        const auto found =
            std::find_if(first, last, [this](const auto& entry) { return entry.second == this; });
        if (found != last) {
            dispatcher_.running_.erase(found);
        }
    }

    /// Ends the run and releases its slot.
    void end_run(service_status end) {
        is_finished_ = true;
        if (downstream_ != downstream_state::no_room) {
            report_downstream(downstream_ == downstream_state::busy ? downstream_congestion::busy
                                                                    : downstream_congestion::clear);
        }
        remove_from_running();
        exchange_.reset();
        dispatcher_.admission_.finished(dispatcher_.now(), call_,
                                        {dispatcher_.now() - started_, end});
    }

    void emit(attempt_event event) {
        const auto handler = on_event_;
        handler(std::move(event));
    }

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
};

target_dispatcher::target_dispatcher(uv_loop_s* loop, endpoint target,
                                     const header_field_names& fields, crash_detector& crashes,
                                     announcement_handler on_announcement, answer_handler on_answer)
    : loop_(loop), target_(std::move(target)), fields_(fields), crashes_(crashes),
      on_announcement_(std::move(on_announcement)), on_answer_(std::move(on_answer)),
      client_(loop, connection_limits), admission_(make_admission_settings()), timer_(loop, [this] {
          notify_refused();
          advance();
      }) {
    client_.set_discard_handler([this](const http1::discarded_answer& discarded) {
        target_answer_report report{answer_fate::discarded,
                                    std::string(name_of(discarded.cause)),
                                    discarded.waiting_id,
                                    discarded.use,
                                    0,
                                    {},
                                    {}};
        if (discarded.head) {
            describe_head(report, fields_, *discarded.head);
        }
        on_answer_(report);
    });
}

time_point target_dispatcher::now() const {
    return http1::loop_time(loop_);
}

std::variant<std::unique_ptr<attempt>, attempt_refusal>
target_dispatcher::submit(target_request request, attempt_handler on_event) {
    const call_id call{next_call_++};
    const auto position = position_of(request.terms);
    const auto& terms = request.terms;
    const auto fingerprint = fingerprint_of(fields_, request);
    if (is_for_leaving_instance(request.head)) {
        return refused(refusal::leaving, position);
    }
    if (crashes_.is_blocked(fingerprint)) {
        return refused(refusal::quarantined, position);
    }
    // Work has already been spent on the whole request of a nested call, so only the first call of
    // a request is held back.
    if (!terms.is_nested &&
        !downstream_limiter_.admits(now(), terms.route, terms.priority, terms.request_bucket)) {
        return refused(refusal::chain_level, position);
    }
    admission_request offered;
    offered.call = call;
    offered.kind = request.terms.route;
    offered.position = position;
    offered.deadline = now() + request.terms.remaining;
    offered.kind_limit = std::numeric_limits<std::uint32_t>::max();
    offered.max_wait = max_queue_time(request.terms);
    const auto verdict = admission_.offer(now(), offered);
    if (verdict != refusal::none) {
        return refused(verdict, position);
    }
    auto made =
        std::make_unique<run>(*this, call, fingerprint, std::move(request), std::move(on_event));
    runs_.emplace(call, made.get());
    advance();
    return made;
}

const run_terms* target_dispatcher::terms_of_run(const std::string& request_id) const {
    const auto [first, last] = running_.equal_range(request_id);
    const auto retry =
        std::find_if(first, last, [](const auto& entry) { return entry.second->terms().is_retry; });
    const auto found = retry == last ? first : retry;
    return found == last ? nullptr : &found->second->terms();
}

void target_dispatcher::report_call_result(const std::string& request_id,
                                           downstream_state downstream) {
    const auto [first, last] = running_.equal_range(request_id);
    std::for_each(first, last,
                  [&](const auto& entry) { entry.second->report_call_result(downstream); });
}

bool target_dispatcher::is_busy_for(const run_terms& terms) const {
    const auto waiting = admission_.standing_position(now());
    return waiting &&
           std::min(terms.priority, highest_priority_number) >= *waiting / positions_per_priority;
}

attempt_refusal target_dispatcher::refused(refusal reason, std::uint32_t position) const {
    attempt_refusal result;
    result.reason = reason;
    result.load = load();
    result.retry_after = admission_.expected_wait(now(), position);
    return result;
}

void target_dispatcher::advance() {
    for (const auto& change : admission_.advance(now())) {
        const auto found = runs_.find(change.call);
        if (found == runs_.end()) {
            continue;
        }
        if (change.reason == refusal::none) {
            found->second->start();
        } else {
            pending_refusals_.push_back({change.call, change.reason});
        }
    }
    arm_timer();
}

void target_dispatcher::set_leaving_instance(std::optional<instance_id> instance) {
    if (instance == leaving_instance_) {
        return;
    }
    leaving_instance_ = std::move(instance);
    for (const auto& [call, waiting] : runs_) {
        if (is_for_leaving_instance(waiting->head()) && admission_.withdraw(call)) {
            pending_refusals_.push_back({call, refusal::leaving});
        }
    }
    arm_timer();
}

bool target_dispatcher::is_for_leaving_instance(const http1::request_head& head) const {
    return leaving_instance_ &&
           find_header(head.headers, fields_.expected_instance) == leaving_instance_->str();
}

void target_dispatcher::notify_refused() {
    const auto refused = std::exchange(pending_refusals_, {});
    for (const auto& entry : refused) {
        const auto found = runs_.find(entry.call);
        if (found != runs_.end()) {
            found->second->refuse(entry.reason);
        }
    }
}

void target_dispatcher::cancel(call_id call, time_point since) {
    if (!admission_.withdraw(call)) {
        admission_.finished(now(), call, {now() - since, service_status::abandoned});
    }
    // The slot is reassigned from the event loop, because this may be called from within a handler.
    timer_.start(0ms);
}

void target_dispatcher::read_announcement(const std::vector<http_header>& headers) {
    has_answered_ = true;
    announce(updated_announcement(announcement_, fields_, headers));
}

void target_dispatcher::announce(const target_announcement& updated) {
    if (updated == announcement_) {
        return;
    }
    announcement_ = updated;
    admission_.set_rate_limit(updated.rate_limit);
    on_announcement_(updated);
}

void target_dispatcher::apply_reported_limit(double requests_per_second) {
    if (!has_answered_) {
        announce({requests_per_second, announcement_.is_leaving});
    }
}

void target_dispatcher::arm_timer() {
    if (!pending_refusals_.empty()) {
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

void target_dispatcher::set_slots(std::uint32_t slots) {
    admission_.set_slots(usable_slots(slots));
    advance();
}

void target_dispatcher::target_restarted() {
    admission_.target_changed(now(), false);
    admission_.target_changed(now(), true);
    announce({});
    advance();
}

load_report target_dispatcher::load() const {
    return admission_.load();
}

void target_dispatcher::sweep() {
    client_.close_expired_connections();
}

} // namespace trefoil
