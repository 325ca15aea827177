#include <trefoil/admission/admission.hpp>

#include <algorithm>
#include <cmath>
#include <limits>
#include <numeric>

#include <trefoil/admission/admission_position.hpp>

namespace trefoil {
namespace {

/// Maximum queueing time at a target with a rate limit. A longer queue does not raise its
/// throughput, and the call may find room at another target.
constexpr duration max_rate_wait = 250ms;

} // namespace

admission::admission(admission_settings settings)
    : settings_(settings), limit_(std::min(settings.slots, settings.connections),
                                  settings.policy.adaptive_limit, settings.policy.slow_start),
      level_(settings.recovery_speed) {}

refusal admission::offer(time_point now, const admission_request& request) {
    if (!target_is_up_) {
        return refusal::target_down;
    }
    if (request.kind_limit == 0) {
        return refusal::kind_limit;
    }
    level_.offered(request.position);
    if (request.position >= threshold()) {
        return refusal::level;
    }
    if (misses_deadline(now, request)) {
        return refusal::deadline;
    }
    if (exceeds_wait_limit(now, request)) {
        return refusal::overload;
    }
    const auto position = settings_.policy.priority_order ? request.position : 0;
    const queue_key key{position, next_sequence_++};
    const auto expected =
        settings_.policy.deadline_refusal ? least_service_time(now, request.kind) : duration{0};
    const auto allowed_wait = max_wait(request);
    auto latest_start = request.deadline - expected;
    if (allowed_wait < latest_start - now) {
        latest_start = now + allowed_wait;
    }
    const auto work = backlog_ ? backlog_->estimator().expected(now, request.kind) : duration{0};
    queue_.emplace(key, waiting_call{request, now, latest_start, work});
    keys_.emplace(request.call, key);
    deadlines_.emplace(latest_start, request.call);
    if (backlog_) {
        backlog_->wait(now, request.call, request.kind);
    }
    return refusal::none;
}

std::vector<admission_decision> admission::advance(time_point now) {
    std::vector<admission_decision> changes;
    if (!target_is_up_) {
        refuse_all(refusal::target_down, changes);
        return changes;
    }
    refuse_expired(now, changes);
    dispatch_waiting(now, changes);
    trim_queue(changes);
    record_state(now);
    return changes;
}

admission::queue::iterator admission::dequeue(queue::iterator at, refusal reason,
                                              std::vector<admission_decision>& out) {
    const auto& waiting = at->second;
    const auto call = waiting.request.call;
    out.push_back({call, reason});
    if (reason == refusal::none) {
        in_flight_.emplace(call, waiting.request.kind);
        ++in_flight_by_kind_[waiting.request.kind];
    } else if (backlog_) {
        backlog_->remove(call);
    }
    deadlines_.erase({waiting.latest_start, call});
    keys_.erase(call);
    return queue_.erase(at);
}

void admission::refuse_all(refusal reason, std::vector<admission_decision>& out) {
    for (auto at = queue_.begin(); at != queue_.end();) {
        at = dequeue(at, reason, out);
    }
}

void admission::refuse_expired(time_point now, std::vector<admission_decision>& out) {
    while (!deadlines_.empty() && deadlines_.begin()->first < now) {
        const auto call = deadlines_.begin()->second;
        dequeue(queue_.find(keys_.at(call)), refusal::deadline, out);
    }
}

void admission::dispatch_waiting(time_point now, std::vector<admission_decision>& out) {
    for (auto at = queue_.begin(); at != queue_.end() && may_dispatch(now);) {
        const auto& request = at->second.request;
        if (misses_deadline(now, request)) {
            at = dequeue(at, refusal::deadline, out);
        } else if (is_kind_at_limit(request)) {
            ++at;
        } else {
            if (backlog_) {
                backlog_->start(now, request.call);
            }
            at = dequeue(at, refusal::none, out);
            rate_.record_start(now);
        }
    }
}

bool admission::may_dispatch(time_point now) const {
    return in_flight_.size() < limit() && rate_.next_start() <= now;
}

void admission::trim_queue(std::vector<admission_decision>& out) {
    while (queue_.size() > queue_limit()) {
        dequeue(std::prev(queue_.end()), refusal::overload, out);
    }
}

bool admission::finished(time_point now, call_id call, const service_result& result) {
    const auto found = in_flight_.find(call);
    if (found == in_flight_.end()) {
        return false;
    }
    const auto kind = found->second;
    level_.finished(result.service_time);
    switch (result.status) {
    case service_status::answered:
        limit_.succeeded(static_cast<std::uint32_t>(in_flight_.size()));
        service_times_.record(now, kind, result.service_time);
        if (backlog_) {
            backlog_->finish(now, call, result.service_time);
        }
        break;
    case service_status::shed:
    case service_status::failed:
        limit_.overloaded(now);
        break;
    case service_status::application_error:
    case service_status::abandoned:
        break;
    }
    if (backlog_) {
        backlog_->remove(call);
    }
    in_flight_.erase(found);
    --in_flight_by_kind_[kind];
    return true;
}

bool admission::withdraw(call_id call) {
    const auto found = keys_.find(call);
    if (found == keys_.end()) {
        return false;
    }
    const auto at = queue_.find(found->second);
    deadlines_.erase({at->second.latest_start, call});
    queue_.erase(at);
    keys_.erase(found);
    if (backlog_) {
        backlog_->remove(call);
    }
    return true;
}

void admission::target_changed(time_point, bool is_up) {
    if (is_up && !target_is_up_) {
        limit_.restarted();
    }
    target_is_up_ = is_up;
}

void admission::set_slots(std::uint32_t slots) {
    settings_.slots = slots;
    limit_.set_highest(std::min(slots, settings_.connections));
}

void admission::set_rate_limit(std::optional<double> calls_per_second) {
    rate_.set_rate(calls_per_second);
}

void admission::use_expected_work(bool is_used) {
    if (is_used == backlog_.has_value()) {
        return;
    }
    backlog_.reset();
    if (is_used) {
        backlog_.emplace();
    }
}

duration admission::slot_wait(time_point now, queue::const_iterator end) const {
    const auto slots = std::max<std::uint32_t>(limit(), 1);
    if (!backlog_) {
        return service_times_.mean() * (std::distance(queue_.begin(), end) + 1) / slots;
    }
    const auto ahead =
        std::accumulate(queue_.begin(), end, duration{0}, [](duration sum, const auto& waiting) {
            return sum + waiting.second.work;
        });
    return backlog_->first_end(now) + ahead / slots;
}

duration admission::least_service_time(time_point now, const std::string& kind) const {
    return backlog_ ? backlog_->median(now, kind) : service_times_.expected(now, kind);
}

duration admission::expected_wait(time_point now, std::uint32_t position) const {
    if (may_dispatch(now)) {
        return duration{0};
    }
    const auto end = queue_.upper_bound({position, next_sequence_});
    auto wait = duration{0};
    if (in_flight_.size() >= limit()) {
        wait = slot_wait(now, end);
    }
    if (const auto rate = rate_.rate()) {
        const auto ahead = std::distance(queue_.begin(), end);
        const auto until_next = std::max(rate_.next_start() - now, duration{0});
        wait = std::max(wait, until_next + from_seconds(static_cast<double>(ahead) / *rate));
    }
    return wait;
}

duration admission::max_wait(const admission_request& request) const {
    return rate_.rate() ? std::min(request.max_wait, max_rate_wait) : request.max_wait;
}

bool admission::exceeds_wait_limit(time_point now, const admission_request& request) const {
    return settings_.policy.wait_refusal &&
           (expected_wait(now, request.position) > max_wait(request) ||
            now + expected_wait(now, request.position) > request.deadline);
}

std::optional<std::uint32_t> admission::standing_position(time_point now) const {
    if (queue_.empty() || !waiting_since_ || now - *waiting_since_ < standing_time) {
        return std::nullopt;
    }
    return std::prev(queue_.end())->first.first;
}

std::uint32_t admission::threshold() const {
    return settings_.policy.level ? level_.threshold() : admit_all;
}

load_report admission::load() const {
    auto usable = limit();
    if (const auto rate = rate_.rate()) {
        // Little's law.
        const auto in_flight_on_average = std::ceil(*rate * to_seconds(service_times_.mean()));
        usable = std::min(usable, static_cast<std::uint32_t>(std::max(in_flight_on_average, 1.0)));
    }
    return {static_cast<std::uint32_t>(in_flight_.size()),
            static_cast<std::uint32_t>(queue_.size()), usable};
}

std::optional<time_point> admission::next_deadline() const {
    if (deadlines_.empty()) {
        return std::nullopt;
    }
    auto next = deadlines_.begin()->first + duration{1};
    if (rate_.rate() && in_flight_.size() < limit()) {
        next = std::min(next, rate_.next_start());
    }
    return next;
}

void admission::record_state(time_point now) {
    if (queue_.empty()) {
        waiting_since_.reset();
    } else if (!waiting_since_) {
        waiting_since_ = now;
    }
    level_.update(now, {static_cast<std::uint32_t>(in_flight_.size()),
                        static_cast<std::uint32_t>(queue_.size()), limit()});
}

std::uint32_t admission::limit() const {
    return settings_.policy.limit ? limit_.current() : std::numeric_limits<std::uint32_t>::max();
}

std::uint32_t admission::queue_limit() const {
    return static_cast<std::uint32_t>(settings_.slots * settings_.queue_per_slot);
}

bool admission::is_kind_at_limit(const admission_request& request) const {
    const auto found = in_flight_by_kind_.find(request.kind);
    return found != in_flight_by_kind_.end() && found->second >= request.kind_limit;
}

bool admission::misses_deadline(time_point now, const admission_request& request) const {
    return settings_.policy.deadline_refusal &&
           now + least_service_time(now, request.kind) > request.deadline;
}

} // namespace trefoil
