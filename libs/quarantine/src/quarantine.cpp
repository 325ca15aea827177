#include <trefoil/quarantine/quarantine.hpp>

#include <algorithm>

#include <trefoil/base/hash.hpp>

namespace trefoil {
namespace {

/// Maximum time between two losses of the same incident.
constexpr duration max_loss_gap = 1s;
/// Delay of a notice, so that it is sent together with others of the same incident.
constexpr duration notice_delay = 2ms;
/// Maximum number of calls that are held until they may be dispatched.
constexpr std::size_t max_held = 256;
/// Time for which an abandoned call counts as in flight.
constexpr duration abandoned_run_lifetime = 10s;
constexpr std::size_t max_abandoned_runs = 1024;

} // namespace

quarantine_verdict quarantine::arrive(time_point now, call_id call, fingerprint request,
                                      bool is_flagged) {
    if (!settings_.is_enabled) {
        return quarantine_verdict::pass;
    }
    if (is_flagged) {
        suspects_.suspect(now, request, 0, settings_.hold_time);
    }
    tracked_call entry{request, call_stage::passed, false, time_point{}};
    const auto verdict = evaluate(now, call, entry);
    if (verdict != quarantine_verdict::refuse) {
        calls_.emplace(call, entry);
    }
    return verdict;
}

quarantine_verdict quarantine::evaluate(time_point now, call_id call, tracked_call& entry) {
    const auto state = suspects_.state(now, entry.request);
    if (!state) {
        entry.current_stage = call_stage::passed;
        return quarantine_verdict::pass;
    }
    if (*state == suspicion::convicted) {
        return quarantine_verdict::refuse;
    }
    if (!trial_) {
        trial_ = call;
        entry.is_trial = true;
        entry.current_stage = call_stage::passed;
        return quarantine_verdict::pass;
    }
    if (held_.size() >= max_held) {
        return quarantine_verdict::refuse;
    }
    entry.current_stage = call_stage::held;
    held_.push_back(call);
    return quarantine_verdict::hold;
}

void quarantine::handed(time_point now, call_id call) {
    const auto found = calls_.find(call);
    if (found != calls_.end()) {
        found->second.current_stage = call_stage::dispatched;
        found->second.dispatched_at = now;
    }
}

void quarantine::ended(time_point now, call_id call, run_result how) {
    const auto found = calls_.find(call);
    if (found == calls_.end()) {
        return;
    }
    const auto entry = found->second;
    calls_.erase(found);
    end_trial(call);
    if (entry.current_stage != call_stage::dispatched) {
        std::erase(held_, call);
        return;
    }
    switch (how) {
    case run_result::completed:
        if (suspects_.record_completion(now, entry.request)) {
            queue_notice(now, suspicion::cleared, entry.request, 0, settings_.hold_time);
        }
        incident_.target_survived =
            incident_.target_survived || entry.dispatched_at <= incident_.began;
        break;
    case run_result::lost:
        record_loss(now, entry.request);
        break;
    case run_result::abandoned:
        if (abandoned_runs_.size() >= max_abandoned_runs) {
            abandoned_runs_.pop_front();
        }
        abandoned_runs_.push_back({entry.request, now + abandoned_run_lifetime});
        break;
    }
    resolve_if_none_left(now);
}

void quarantine::end_trial(call_id call) {
    if (trial_ == call) {
        trial_.reset();
        needs_recheck_ = true;
    }
}

void quarantine::target_went_down(time_point now) {
    for (auto at = calls_.begin(); at != calls_.end();) {
        if (at->second.current_stage != call_stage::dispatched) {
            ++at;
            continue;
        }
        const auto call = at->first;
        const auto request = at->second.request;
        at = calls_.erase(at);
        end_trial(call);
        record_loss(now, request);
    }
    for (const auto& run : abandoned_runs_) {
        if (now < run.until) {
            record_loss(now, run.request);
        }
    }
    abandoned_runs_.clear();
    if (!incident_.is_resolved && now - incident_.last_loss <= max_loss_gap) {
        resolve_incident(now);
    }
}

void quarantine::record_loss(time_point now, fingerprint request) {
    if (incident_.id == 0 || now - incident_.last_loss > max_loss_gap) {
        incident_ = {};
        incident_.id = mix_hash(seed_, ++incident_count_);
        incident_.began = now;
    }
    incident_.is_resolved = false;
    incident_.last_loss = now;
    if (suspects_.completed_recently(request)) {
        incident_.recently_completed.push_back(request);
        return;
    }
    const auto before = suspects_.state(now, request);
    const bool was_suspect =
        before && (suspects_.incident_of(request) != incident_.id || incident_.id == 0);
    if (was_suspect) {
        incident_.prior_suspects.push_back(request);
        return;
    }
    if (suspects_.suspect(now, request, incident_.id, settings_.hold_time)) {
        incident_.new_suspects.push_back(request);
        needs_recheck_ = true;
        queue_notice(now, suspicion::suspected, request, incident_.id, settings_.hold_time);
    }
}

// Resolves an incident without a report that the target is down: none of the calls that were in
// flight together with the lost ones has completed, and none of them is still in flight.
void quarantine::resolve_if_none_left(time_point now) {
    if (incident_.is_resolved || incident_.target_survived || incident_.prior_suspects.empty()) {
        return;
    }
    const bool has_remaining = std::any_of(calls_.begin(), calls_.end(), [this](const auto& other) {
        return other.second.current_stage == call_stage::dispatched &&
               other.second.dispatched_at <= incident_.began;
    });
    if (!has_remaining) {
        resolve_incident(now);
    }
}

void quarantine::resolve_incident(time_point now) {
    incident_.is_resolved = true;
    auto& prior_suspects = incident_.prior_suspects;
    std::sort(prior_suspects.begin(), prior_suspects.end());
    prior_suspects.erase(std::unique(prior_suspects.begin(), prior_suspects.end()),
                         prior_suspects.end());
    if (prior_suspects.size() == 1) {
        convict(now, prior_suspects.front(), incident_.id);
    }
    if (prior_suspects.empty() && incident_.new_suspects.empty()) {
        for (const auto request : incident_.recently_completed) {
            suspects_.forget_completion(request);
            if (suspects_.suspect(now, request, incident_.id, settings_.hold_time)) {
                queue_notice(now, suspicion::suspected, request, incident_.id, settings_.hold_time);
            }
        }
    }
    incident_.recently_completed.clear();
    needs_recheck_ = true;
}

void quarantine::convict(time_point now, fingerprint request, std::uint64_t incident) {
    const auto first_incident = suspects_.incident_of(request);
    if (!suspects_.convict(now, request, incident, settings_.hold_time)) {
        return;
    }
    // Neighbours clear the other suspected requests by the incident that was first reported to
    // them.
    queue_notice(now, suspicion::convicted, request,
                 first_incident == 0 ? incident : first_incident, settings_.hold_time);
    // The conviction explains this incident, so its unsent notices of suspicion are dropped.
    std::erase_if(notices_, [incident](const suspect_notice& waiting) {
        return waiting.state == suspicion::suspected && waiting.incident == incident;
    });
}

void quarantine::receive_notice(time_point now, const suspect_notice& notice) {
    if (!settings_.is_enabled) {
        return;
    }
    for (const auto request : notice.fingerprints) {
        bool is_new = false;
        switch (notice.state) {
        case suspicion::suspected:
            is_new = suspects_.suspect(now, request, notice.incident, notice.lifetime);
            break;
        case suspicion::convicted:
            is_new = suspects_.convict(now, request, notice.incident, notice.lifetime);
            break;
        case suspicion::cleared:
            // Recorded as a completion; otherwise a delayed suspicion and its clearing would be
            // forwarded from node to node endlessly.
            is_new = suspects_.state(now, request) == suspicion::suspected &&
                     suspects_.record_completion(now, request);
            break;
        }
        if (is_new) {
            needs_recheck_ = true;
            queue_notice(now, notice.state, request, notice.incident, notice.lifetime);
        }
    }
}

void quarantine::attempt_lost(time_point now, fingerprint request) {
    if (suspects_.suspect(now, request, 0, settings_.hold_time)) {
        needs_recheck_ = true;
    }
}

void quarantine::attempt_completed(time_point now, fingerprint request) {
    if (suspects_.state(now, request) == suspicion::suspected) {
        suspects_.clear(request);
        needs_recheck_ = true;
    }
}

std::vector<verdict_change> quarantine::take_changes(time_point now) {
    std::vector<verdict_change> changes;
    if (!needs_recheck_) {
        return changes;
    }
    needs_recheck_ = false;
    const auto waiting = std::exchange(held_, {});
    for (const auto call : waiting) {
        auto& entry = calls_.at(call);
        const auto verdict = evaluate(now, call, entry);
        if (verdict != quarantine_verdict::hold) {
            changes.push_back({call, verdict});
        }
    }
    for (auto& [call, entry] : calls_) {
        if (entry.current_stage != call_stage::passed || entry.is_trial ||
            !suspects_.state(now, entry.request)) {
            continue;
        }
        const auto verdict = evaluate(now, call, entry);
        if (verdict != quarantine_verdict::pass) {
            changes.push_back({call, verdict});
        }
    }
    for (const auto& change : changes) {
        if (change.verdict == quarantine_verdict::refuse) {
            calls_.erase(change.call);
        }
    }
    return changes;
}

void quarantine::queue_notice(time_point now, suspicion state, fingerprint request,
                              std::uint64_t incident, duration lifetime) {
    const auto fits = [&](const suspect_notice& notice) {
        return notice.state == state && notice.incident == incident &&
               notice.fingerprints.size() < max_suspects_in_notice;
    };
    auto found = std::find_if(notices_.begin(), notices_.end(), fits);
    if (found == notices_.end()) {
        notices_.push_back({{}, state, lifetime, incident});
        found = std::prev(notices_.end());
    }
    found->fingerprints.push_back(request);
    notices_due_ = notices_due_.value_or(now + notice_delay);
    if (state == suspicion::convicted) {
        notices_due_ = now;
    }
}

std::vector<suspect_notice> quarantine::take_notices(time_point now) {
    if (!notices_due_ || now < *notices_due_) {
        return {};
    }
    notices_due_.reset();
    return std::exchange(notices_, {});
}

} // namespace trefoil
