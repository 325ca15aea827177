#include <trefoil/admission/admission.hpp>

#include <algorithm>

#include <trefoil/admission/admission_position.hpp>

namespace trefoil {
namespace {

/// Weight of the newest service time in the running mean is 1 / this.
constexpr int service_time_smoothing = 8;

} // namespace

refusal admission::offer(time_point now, const admission_request& request) {
    if (!target_is_up_) {
        return refusal::target_down;
    }
    if (request.kind_limit == 0) {
        return refusal::kind_limit;
    }
    if (now + expected_service_time(request.kind) > request.deadline) {
        return refusal::deadline;
    }
    const queue_key key{request.position, next_sequence_++};
    queue_.emplace(key, waiting_call{request, now});
    keys_.emplace(request.call, key);
    return refusal::none;
}

std::vector<admission_change> admission::advance(time_point now) {
    std::vector<admission_change> changes;
    for (auto at = queue_.begin(); at != queue_.end();) {
        const auto& request = at->second.request;
        const bool too_late = now + expected_service_time(request.kind) > request.deadline;
        if (!target_is_up_) {
            changes.push_back({request.call, refusal::target_down});
        } else if (too_late) {
            changes.push_back({request.call, refusal::deadline});
        } else if (in_flight_.size() < settings_.slots && !kind_is_full(request)) {
            changes.push_back({request.call, refusal::none});
            in_flight_.emplace(request.call, request.kind);
            ++in_flight_by_kind_[request.kind];
        } else {
            ++at;
            continue;
        }
        keys_.erase(request.call);
        at = queue_.erase(at);
    }
    while (queue_.size() > queue_limit()) {
        const auto last = std::prev(queue_.end());
        changes.push_back({last->second.request.call, refusal::overload});
        keys_.erase(last->second.request.call);
        queue_.erase(last);
    }
    return changes;
}

void admission::finished(time_point, call_id call, const service_result& result) {
    const auto found = in_flight_.find(call);
    if (found == in_flight_.end()) {
        return;
    }
    const auto kind = found->second;
    in_flight_.erase(found);
    --in_flight_by_kind_[kind];
    if (result.succeeded) {
        auto& mean = service_times_.try_emplace(kind, result.service_time).first->second;
        mean += (result.service_time - mean) / service_time_smoothing;
    }
}

bool admission::withdraw(call_id call) {
    const auto found = keys_.find(call);
    if (found == keys_.end()) {
        return false;
    }
    queue_.erase(found->second);
    keys_.erase(found);
    return true;
}

void admission::target_changed(time_point, bool is_up) {
    target_is_up_ = is_up;
}

std::uint32_t admission::threshold() const {
    return admit_all;
}

load_report admission::load() const {
    return {static_cast<std::uint32_t>(in_flight_.size()),
            static_cast<std::uint32_t>(queue_.size()), settings_.slots};
}

std::optional<time_point> admission::next_deadline() const {
    std::optional<time_point> earliest;
    for (const auto& [key, waiting] : queue_) {
        earliest =
            earliest ? std::min(*earliest, waiting.request.deadline) : waiting.request.deadline;
    }
    return earliest;
}

std::uint32_t admission::queue_limit() const {
    return static_cast<std::uint32_t>(settings_.slots * settings_.queue_per_slot);
}

bool admission::kind_is_full(const admission_request& request) const {
    const auto found = in_flight_by_kind_.find(request.kind);
    return found != in_flight_by_kind_.end() && found->second >= request.kind_limit;
}

duration admission::expected_service_time(const std::string& kind) const {
    const auto found = service_times_.find(kind);
    return found == service_times_.end() ? duration{0} : found->second;
}

} // namespace trefoil
