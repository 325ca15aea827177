#include <trefoil/quarantine/suspect_list.hpp>

#include <algorithm>

namespace trefoil {
namespace {

/// Completed requests are remembered for one to two of these intervals.
constexpr duration completion_interval = 5s;
/// Number of completed requests with which an interval ends early.
constexpr std::size_t max_completed = 4096;

} // namespace

std::optional<suspicion> suspect_list::state(time_point now, fingerprint request) const {
    const auto found = entries_.find(request);
    if (found == entries_.end() || now >= found->second.until) {
        return std::nullopt;
    }
    const bool is_convicted =
        found->second.state == suspicion::convicted && now < found->second.convicted_until;
    return is_convicted ? suspicion::convicted : suspicion::suspected;
}

bool suspect_list::suspect(time_point now, fingerprint request, std::uint64_t incident,
                           duration lifetime) {
    if (!settings_.is_enabled || completed_recently(request)) {
        return false;
    }
    const bool is_known = state(now, request).has_value();
    auto& found = add(now, request);
    found.incident = found.incident == 0 ? incident : found.incident;
    found.until = std::max(found.until, now + std::min(lifetime, settings_.hold_time));
    return !is_known;
}

bool suspect_list::convict(time_point now, fingerprint request, std::uint64_t incident,
                           duration lifetime) {
    if (!settings_.is_enabled || completed_recently(request) ||
        state(now, request) == suspicion::convicted) {
        return false;
    }
    auto& found = add(now, request);
    const auto first_incident = found.incident;
    found.state = suspicion::convicted;
    found.incident = incident;
    found.convicted_until = now + std::min(lifetime, settings_.hold_time);
    found.until = found.convicted_until + settings_.hold_time;
    std::erase_if(entries_, [&](const auto& other) {
        const auto cause = other.second.incident;
        const bool is_explained = cause != 0 && (cause == incident || cause == first_incident);
        return is_explained && other.first != request && other.second.state == suspicion::suspected;
    });
    return true;
}

suspect_list::entry& suspect_list::add(time_point now, fingerprint request) {
    const auto found = entries_.find(request);
    if (found != entries_.end()) {
        if (now >= found->second.until) {
            found->second = {};
        }
        return found->second;
    }
    evict_if_full(now);
    return entries_[request];
}

void suspect_list::evict_if_full(time_point now) {
    if (entries_.size() < settings_.max_entries) {
        return;
    }
    std::erase_if(entries_, [now](const auto& other) { return now >= other.second.until; });
    if (entries_.size() < settings_.max_entries) {
        return;
    }
    const auto first =
        std::min_element(entries_.begin(), entries_.end(), [](const auto& a, const auto& b) {
            return a.second.until < b.second.until;
        });
    entries_.erase(first);
}

bool suspect_list::clear(fingerprint request) {
    return entries_.erase(request) > 0;
}

bool suspect_list::record_completion(time_point now, fingerprint request) {
    if (now >= next_rotation_ || completed_.size() >= max_completed) {
        previously_completed_ = std::move(completed_);
        completed_.clear();
        next_rotation_ = now + completion_interval;
    }
    completed_.insert(request);
    return clear(request);
}

bool suspect_list::completed_recently(fingerprint request) const {
    return completed_.contains(request) || previously_completed_.contains(request);
}

void suspect_list::forget_completion(fingerprint request) {
    completed_.erase(request);
    previously_completed_.erase(request);
}

std::uint64_t suspect_list::incident_of(fingerprint request) const {
    const auto found = entries_.find(request);
    return found == entries_.end() ? 0 : found->second.incident;
}

} // namespace trefoil
