#include <trefoil/quarantine/quarantine.hpp>

#include <algorithm>

#include <trefoil/base/hash.hpp>

namespace trefoil {
namespace {

/// Losses so close to each other belong to one incident.
constexpr duration incident_time = 1s;
/// Notices wait so long for others of the same incident.
constexpr duration notice_delay = 2ms;
/// Calls that may wait for their trial.
constexpr std::size_t max_held = 256;
/// A run that was given up counts as in flight for so long.
constexpr duration linger_time = 10s;
constexpr std::size_t max_lingering = 1024;

} // namespace

gate_verdict quarantine::arrive(time_point now, call_id call, fingerprint request,
                                bool is_flagged) {
    if (!settings_.is_enabled) {
        return gate_verdict::pass;
    }
    if (is_flagged) {
        suspects_.suspect(now, request, 0, settings_.hold_time);
    }
    guarded_call entry{request, stage::passed, false, time_point{}};
    const auto verdict = judge(now, call, entry);
    if (verdict != gate_verdict::refuse) {
        calls_.emplace(call, entry);
    }
    return verdict;
}

gate_verdict quarantine::judge(time_point now, call_id call, guarded_call& entry) {
    const auto state = suspects_.state(now, entry.request);
    if (!state) {
        entry.at = stage::passed;
        return gate_verdict::pass;
    }
    if (*state == suspicion::convicted) {
        return gate_verdict::refuse;
    }
    if (!trial_) {
        trial_ = call;
        entry.is_trial = true;
        entry.at = stage::passed;
        return gate_verdict::pass;
    }
    if (held_.size() >= max_held) {
        return gate_verdict::refuse;
    }
    entry.at = stage::held;
    held_.push_back(call);
    return gate_verdict::hold;
}

void quarantine::handed(time_point now, call_id call) {
    const auto found = calls_.find(call);
    if (found != calls_.end()) {
        found->second.at = stage::handed;
        found->second.handed_at = now;
    }
}

void quarantine::ended(time_point now, call_id call, run_end how) {
    const auto found = calls_.find(call);
    if (found == calls_.end()) {
        return;
    }
    const auto entry = found->second;
    calls_.erase(found);
    free_trial(call);
    if (entry.at != stage::handed) {
        std::erase(held_, call);
        return;
    }
    switch (how) {
    case run_end::completed:
        if (suspects_.ran_to_its_end(now, entry.request)) {
            tell(now, suspicion::cleared, entry.request, 0, settings_.hold_time);
        }
        incident_.target_survived = incident_.target_survived || entry.handed_at <= incident_.began;
        break;
    case run_end::lost:
        note_loss(now, entry.request);
        break;
    case run_end::given_up:
        if (lingering_.size() >= max_lingering) {
            lingering_.pop_front();
        }
        lingering_.push_back({entry.request, now + linger_time});
        break;
    }
    decide_if_alone(now);
}

void quarantine::free_trial(call_id call) {
    if (trial_ == call) {
        trial_.reset();
        must_recheck_ = true;
    }
}

void quarantine::target_went_down(time_point now) {
    for (auto at = calls_.begin(); at != calls_.end();) {
        if (at->second.at != stage::handed) {
            ++at;
            continue;
        }
        const auto call = at->first;
        const auto request = at->second.request;
        at = calls_.erase(at);
        free_trial(call);
        note_loss(now, request);
    }
    for (const auto& run : lingering_) {
        if (now < run.until) {
            note_loss(now, run.request);
        }
    }
    lingering_.clear();
    if (!incident_.is_decided && now - incident_.last_loss <= incident_time) {
        decide(now);
    }
}

void quarantine::note_loss(time_point now, fingerprint request) {
    if (incident_.id == 0 || now - incident_.last_loss > incident_time) {
        incident_ = {};
        incident_.id = mix_hash(seed_, ++incidents_);
        incident_.began = now;
    }
    incident_.is_decided = false;
    incident_.last_loss = now;
    if (suspects_.ran_lately(request)) {
        incident_.good.push_back(request);
        return;
    }
    const auto before = suspects_.state(now, request);
    const bool was_suspect =
        before && (suspects_.incident_of(request) != incident_.id || incident_.id == 0);
    if (was_suspect) {
        incident_.suspects.push_back(request);
        return;
    }
    if (suspects_.suspect(now, request, incident_.id, settings_.hold_time)) {
        incident_.others.push_back(request);
        must_recheck_ = true;
        tell(now, suspicion::suspected, request, incident_.id, settings_.hold_time);
    }
}

// Without a report that the target is down: nothing that was in flight beside the lost calls came
// to a good end, and nothing of it is left.
void quarantine::decide_if_alone(time_point now) {
    if (incident_.is_decided || incident_.target_survived || incident_.suspects.empty()) {
        return;
    }
    const bool is_any_left = std::any_of(calls_.begin(), calls_.end(), [this](const auto& other) {
        return other.second.at == stage::handed && other.second.handed_at <= incident_.began;
    });
    if (!is_any_left) {
        decide(now);
    }
}

void quarantine::decide(time_point now) {
    incident_.is_decided = true;
    auto& suspects = incident_.suspects;
    std::sort(suspects.begin(), suspects.end());
    suspects.erase(std::unique(suspects.begin(), suspects.end()), suspects.end());
    if (suspects.size() == 1) {
        convict(now, suspects.front(), incident_.id);
    }
    if (suspects.empty() && incident_.others.empty()) {
        for (const auto request : incident_.good) {
            suspects_.forget_good_run(request);
            if (suspects_.suspect(now, request, incident_.id, settings_.hold_time)) {
                tell(now, suspicion::suspected, request, incident_.id, settings_.hold_time);
            }
        }
    }
    incident_.good.clear();
    must_recheck_ = true;
}

void quarantine::convict(time_point now, fingerprint request, std::uint64_t incident) {
    const auto first_incident = suspects_.incident_of(request);
    if (!suspects_.convict(now, request, incident, settings_.hold_time)) {
        return;
    }
    // Neighbours clear the others by the crash that they know them for.
    tell(now, suspicion::convicted, request, first_incident == 0 ? incident : first_incident,
         settings_.hold_time);
    // Suspicions of this crash that are not sent yet are explained by it.
    std::erase_if(notices_, [incident](const suspect_notice& waiting) {
        return waiting.state == suspicion::suspected && waiting.incident == incident;
    });
}

void quarantine::heard(time_point now, const suspect_notice& notice) {
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
            // Held as a good run, or else a late suspicion and its clearing would follow each
            // other from node to node without end.
            is_new = suspects_.state(now, request) == suspicion::suspected &&
                     suspects_.ran_to_its_end(now, request);
            break;
        }
        if (is_new) {
            must_recheck_ = true;
            tell(now, notice.state, request, notice.incident, notice.lifetime);
        }
    }
}

void quarantine::attempt_lost(time_point now, fingerprint request) {
    if (suspects_.suspect(now, request, 0, settings_.hold_time)) {
        must_recheck_ = true;
    }
}

void quarantine::attempt_completed(time_point now, fingerprint request) {
    if (suspects_.state(now, request) == suspicion::suspected) {
        suspects_.clear(request);
        must_recheck_ = true;
    }
}

std::vector<gate_change> quarantine::take_changes(time_point now) {
    std::vector<gate_change> changes;
    if (!must_recheck_) {
        return changes;
    }
    must_recheck_ = false;
    const auto waiting = std::exchange(held_, {});
    for (const auto call : waiting) {
        auto& entry = calls_.at(call);
        const auto verdict = judge(now, call, entry);
        if (verdict != gate_verdict::hold) {
            changes.push_back({call, verdict});
        }
    }
    for (auto& [call, entry] : calls_) {
        if (entry.at != stage::passed || entry.is_trial || !suspects_.state(now, entry.request)) {
            continue;
        }
        const auto verdict = judge(now, call, entry);
        if (verdict != gate_verdict::pass) {
            changes.push_back({call, verdict});
        }
    }
    for (const auto& change : changes) {
        if (change.verdict == gate_verdict::refuse) {
            calls_.erase(change.call);
        }
    }
    return changes;
}

void quarantine::tell(time_point now, suspicion state, fingerprint request, std::uint64_t incident,
                      duration lifetime) {
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
