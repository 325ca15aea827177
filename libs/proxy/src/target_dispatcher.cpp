#include "target_dispatcher.hpp"

#include <algorithm>
#include <limits>
#include <utility>

#include <trefoil/admission/admission_position.hpp>
#include <trefoil/http1/header_rules.hpp>
#include <trefoil/traffic/usable_slots.hpp>

#include "target_run.hpp"

namespace trefoil {
namespace {

/// Number of slots assumed for a target that is not registered yet.
constexpr std::uint32_t unregistered_slots = 16;
/// Position of a caller's own request within its priority. Calls made by targets have smaller
/// positions and are served first.
constexpr std::uint32_t caller_position = positions_per_priority / 2;
/// Lowest priority that is distinguished. Priorities with a higher number are treated as this one.
constexpr std::uint32_t highest_priority_number = 9;
/// Limits of the connection pool to the target.
constexpr http1::connection_pool_limits connection_limits{256, std::chrono::milliseconds(8000)};

/// Share of the useful time that a request may spend in the queue.
constexpr double queue_share = 0.6;
/// Maximum queue length where requests are refused by the level of short services: beyond it, calls
/// would wait longer than they may. A shorter queue would refuse calls before a shortage can be
/// told from a burst.
constexpr double shared_queue_per_slot = 8;

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

/// Returns the fingerprint of the request, by which requests that crash targets are quarantined.
request_fingerprint fingerprint_of(const header_field_names& fields,
                                   const target_request& request) {
    const auto caller = find_header(request.head.headers, fields.caller_service);
    return request_fingerprint_of(request.head.method, request.head.target, caller, request.body);
}

} // namespace

std::uint32_t target_dispatcher::position_of(const run_terms& terms) const {
    if (shortages_) {
        return shared_queue_position(terms.priority);
    }
    const auto priority = std::min(terms.priority, highest_priority_number);
    return priority * positions_per_priority + (terms.is_nested ? 0 : caller_position) +
           terms.request_bucket;
}

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
        return refused(refusal::leaving, terms);
    }
    if (crashes_.is_blocked(fingerprint)) {
        return refused(refusal::quarantined, terms);
    }
    // Work has already been spent on the whole request of a nested call, so only the first call of
    // a request is held back.
    if (!terms.is_nested &&
        !downstream_limiter_.admits(now(), terms.route, terms.priority, terms.request_bucket)) {
        return refused(refusal::chain_level, terms);
    }
    if (const auto reason = shortages_ ? refusal_by_shortage(terms) : std::nullopt) {
        return refused(*reason, terms);
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
        return refused(verdict, terms);
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

void target_dispatcher::report_shortage(const std::string& request_id, const shortage_level& told) {
    const auto [first, last] = running_.equal_range(request_id);
    std::for_each(first, last, [&](const auto& entry) { entry.second->report_shortage(told); });
}

void target_dispatcher::share_short_services(bool is_on, const service_name& service) {
    if (is_on == shortages_.has_value()) {
        return;
    }
    admission_.set_queue_per_slot(is_on ? shared_queue_per_slot
                                        : admission_settings{}.queue_per_slot);
    shortages_.reset();
    if (is_on) {
        shortages_.emplace(service);
    }
}

std::optional<refusal> target_dispatcher::refusal_by_shortage(const run_terms& terms) {
    const auto rank = shedding_position(terms.priority, terms.request_bucket, terms.is_nested);
    shortages_->update(now(), admission_.load());
    shortages_->offered(rank);
    const bool is_admitted = terms.is_nested || shortages_->admits(rank);
    return is_admitted ? std::nullopt : std::optional(refusal::level);
}

bool target_dispatcher::is_busy_for(const run_terms& terms) const {
    if (shortages_) {
        return false;
    }
    const auto waiting = admission_.standing_position(now());
    return waiting &&
           std::min(terms.priority, highest_priority_number) >= *waiting / positions_per_priority;
}

attempt_refusal target_dispatcher::refused(refusal reason, const run_terms& terms) const {
    attempt_refusal result;
    result.reason = reason;
    result.load = load();
    result.retry_after = admission_.expected_wait(now(), position_of(terms));
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
    if (shortages_) {
        shortages_->update(now(), admission_.load());
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
        const bool has_run =
            admission_.finished(now(), call, {now() - since, service_status::abandoned});
        if (shortages_ && has_run) {
            shortages_->finished(now() - since);
        }
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
    auto report = admission_.load();
    if (const auto* backlog = admission_.backlog()) {
        report.backlog_ms = static_cast<std::uint32_t>(whole_ms(backlog->total(now())).count());
    }
    return report;
}

void target_dispatcher::sweep() {
    client_.close_expired_connections();
}

} // namespace trefoil
