#include <trefoil/traffic/placement.hpp>

#include <algorithm>
#include <cmath>

namespace trefoil {
namespace {

/// Cost of an attempt that fails: the attempt and the one that follows it, each a target latency.
constexpr double failure_cost = 2.0;
/// Fraction of requests that are sent to a random instance.
constexpr double exploration_fraction = 0.01;
/// Weight of the newest sample in the moving average of the latency.
constexpr double newest_sample_weight = 1.0 / 12;
/// Time in which an estimate without new samples moves half of its distance to the best estimate.
constexpr duration estimate_half_life = 3s;
/// Time for which an instance that refused because of load has a higher cost.
constexpr duration overload_penalty_time = 60ms;
/// Time for which an instance whose node reported leaving is avoided.
constexpr duration leaving_pause = 3s;
/// State of instances that were not used for this time is evicted.
constexpr duration state_lifetime = 60s;
constexpr duration sweep_interval = 10s;
/// Target latency of routes that set none.
constexpr duration default_target_latency = 1s;

double half_life_factor(duration age, duration half_life) {
    return std::exp2(-to_seconds(age) / to_seconds(half_life));
}

} // namespace

std::optional<listed_instance> placement::choose(time_point now,
                                                 const instance_directory& directory,
                                                 const placement_request& request) {
    evict_unused(now);
    eligible_instances eligible;
    std::vector<const listed_instance*> ineligible;
    for (const auto& entry : directory.usable(request.service)) {
        const bool was_tried = std::find(request.excluded.begin(), request.excluded.end(),
                                         entry.id) != request.excluded.end();
        if (was_tried) {
            continue;
        }
        if (!is_eligible(now, entry)) {
            ineligible.push_back(&entry);
            continue;
        }
        (entry.domain == own_ ? eligible.own : eligible.others).push_back(&entry);
    }
    if (eligible.own.empty() && eligible.others.empty()) {
        // All instances are ejected or leaving: the request is still sent, to a random one.
        if (ineligible.empty()) {
            return std::nullopt;
        }
        return *ineligible[random_.below(ineligible.size())];
    }
    return request.is_by_work ? choose_by_work(now, request, eligible)
                              : choose_by_latency(now, request, eligible);
}

listed_instance placement::choose_by_latency(time_point now, const placement_request& request,
                                             const eligible_instances& eligible) {
    const auto& own = eligible.own;
    const auto& others = eligible.others;
    if (own.size() + others.size() > 1 && random_.unit() < exploration_fraction) {
        const auto index = random_.below(own.size() + others.size());
        return index < own.size() ? *own[index] : *others[index - own.size()];
    }
    std::vector<candidate> drawn;
    const auto draw = [&](const std::vector<const listed_instance*>& from) {
        if (!from.empty()) {
            const auto* entry = from[random_.below(from.size())];
            drawn.push_back({entry, cost(now, *entry, request)});
        }
    };
    draw(own);
    draw(own);
    draw(others);
    draw(others);
    const auto best = std::min_element(
        drawn.begin(), drawn.end(),
        [](const candidate& left, const candidate& right) { return left.cost < right.cost; });
    return *best->entry;
}

listed_instance placement::choose_by_work(time_point now, const placement_request& request,
                                          const eligible_instances& eligible) {
    const auto& home = eligible.own;
    const listed_instance* chosen = nullptr;
    if (!home.empty() && random_.unit() < exploration_fraction) {
        chosen = home[random_.below(home.size())];
    } else {
        const auto all_of = [&](const std::vector<const listed_instance*>& entries) {
            std::vector<completion_candidate> made;
            made.reserve(entries.size());
            for (const auto* entry : entries) {
                made.push_back(completion_candidate_of(now, request, *entry));
            }
            return made;
        };
        const completion_candidates candidates{all_of(home),
                                               [&] { return all_of(eligible.others); }};
        chosen =
            &by_completion_.choose(now, request.service, candidates, !request.excluded.empty());
    }
    states_[chosen->id].domain = chosen->domain;
    states_[chosen->id].last_used = now;
    return *chosen;
}

completion_candidate placement::completion_candidate_of(time_point now,
                                                        const placement_request& request,
                                                        const listed_instance& entry) const {
    const auto target =
        request.target_latency > duration{0} ? request.target_latency : default_target_latency;
    const auto work = by_completion_.work_at(now, request.service, request.route, entry.id);
    const auto found = states_.find(entry.id);
    if (found == states_.end()) {
        return {&entry, completion_cost_of(now, entry.slots, {}, work, target)};
    }
    const auto& state = found->second;
    auto cost = completion_cost_of(now, entry.slots, state.load, work, target);
    cost.overload = now < state.overloaded_until ? 1.0 : 0.0;
    cost.failures = failure_cost * failure_share(now, state);
    return {&entry, cost};
}

void placement::note_work(time_point now, const placement_request& request,
                          const instance_id& instance, const placement_result& result) {
    const auto& state = states_[instance];
    if (result.end == attempt_result::answered) {
        by_completion_.answered(now, request.service, request.route, instance,
                                result.took - probable_wait(result.load, result.took));
    }
    const bool got_no_answer =
        result.end == attempt_result::failed || result.end == attempt_result::timed_out;
    if (got_no_answer && state.domain && *state.domain != own_) {
        by_completion_.domain_failed(now, *state.domain);
    }
}

bool placement::is_eligible(time_point now, const listed_instance& entry) const {
    const auto found = states_.find(entry.id);
    if (found == states_.end()) {
        return true;
    }
    const auto& state = found->second;
    if (now < state.leaving_until) {
        return false;
    }
    switch (state.health.state(now)) {
    case ejection_state::in_use:
        return true;
    case ejection_state::ejected:
        return false;
    case ejection_state::on_trial:
        return state.load.in_flight == 0;
    }
    return true;
}

double placement::cost(time_point now, const listed_instance& entry,
                       const placement_request& request) const {
    const auto target =
        request.target_latency > duration{0} ? request.target_latency : default_target_latency;
    const auto target_us = static_cast<double>(target.count());
    const auto best = best_latencies_.find(request.route);
    const double best_us = best == best_latencies_.end() ? 0 : best->second.mean_us;
    latency_cost parts;
    parts.distance = entry.domain == own_ ? 0 : leaving_cost;
    parts.latency = best_us / target_us;
    const auto found = states_.find(entry.id);
    if (found == states_.end()) {
        return parts.total();
    }
    const auto& state = found->second;
    const auto estimate = state.latencies.find(request.route);
    if (estimate != state.latencies.end()) {
        const double confidence = half_life_factor(now - estimate->second.at, estimate_half_life);
        const double expected_us = best_us + (estimate->second.mean_us - best_us) * confidence;
        parts.latency = expected_us / target_us;
    }
    parts.occupancy = occupancy_of(now, entry.slots, state.load);
    parts.overload = now < state.overloaded_until ? 1.0 : 0.0;
    parts.failures = failure_cost * failure_share(now, state);
    return parts.total();
}

void placement::started(time_point now, const instance_id& instance) {
    auto& state = states_[instance];
    ++state.load.in_flight;
    state.last_used = now;
}

health_change placement::finished(time_point now, const placement_request& request,
                                  const instance_id& instance, const placement_result& result) {
    auto& state = states_[instance];
    state.load.in_flight -= state.load.in_flight > 0 ? 1 : 0;
    state.last_used = now;
    if (result.load) {
        state.load.report = result.load;
        state.load.reported_at = now;
        state.load.in_flight_at_report = state.load.in_flight;
    }
    if (result.end == attempt_result::answered) {
        last_success_[request.service] = now;
        update_latency(now, request, state, result.took);
    } else if (result.end == attempt_result::refused_load) {
        state.overloaded_until = now + overload_penalty_time;
    }
    if (request.is_by_work) {
        note_work(now, request, instance, result);
    }
    update_failures(now, state, result.end);
    const auto last_success = last_success_.find(request.service);
    const auto event = state.health.note(
        now, result.end,
        last_success == last_success_.end() ? std::nullopt : std::optional(last_success->second));
    return {instance, event, state.health.state(now)};
}

void placement::update_failures(time_point now, instance_state& state, attempt_result result) {
    const bool has_failed = result == attempt_result::answered_error ||
                            result == attempt_result::failed || result == attempt_result::timed_out;
    if (!has_failed && result != attempt_result::answered) {
        return;
    }
    const double share = failure_share(now, state);
    state.failures.share = share + ((has_failed ? 1.0 : 0.0) - share) * newest_sample_weight;
    state.failures.at = now;
}

double placement::failure_share(time_point now, const instance_state& state) {
    return state.failures.share * half_life_factor(now - state.failures.at, estimate_half_life);
}

void placement::update_latency(time_point now, const placement_request& request,
                               instance_state& state, duration latency) {
    const auto latency_us = static_cast<double>(latency.count());
    auto& entry =
        state.latencies.try_emplace(request.route, latency_estimate{latency_us, now}).first->second;
    entry.mean_us += (latency_us - entry.mean_us) * newest_sample_weight;
    entry.at = now;
    auto& best = best_latencies_.try_emplace(request.route, latency_estimate{entry.mean_us, now})
                     .first->second;
    const double drift = 1.0 - half_life_factor(now - best.at, 8 * estimate_half_life);
    best.mean_us = entry.mean_us < best.mean_us
                       ? entry.mean_us
                       : best.mean_us + (entry.mean_us - best.mean_us) * drift;
    best.at = now;
}

void placement::set_leaving(time_point now, const instance_id& instance) {
    auto& state = states_[instance];
    state.leaving_until = now + leaving_pause;
    state.last_used = now;
}

void placement::set_rate_limit(const instance_id& instance,
                               std::optional<double> requests_per_second) {
    states_[instance].rate_limit = requests_per_second;
}

std::optional<double> placement::rate_limit(const instance_id& instance) const {
    const auto found = states_.find(instance);
    return found == states_.end() ? std::nullopt : found->second.rate_limit;
}

void placement::evict_unused(time_point now) {
    if (now < next_sweep_) {
        return;
    }
    next_sweep_ = now + sweep_interval;
    by_completion_.evict_unused(now);
    std::erase_if(states_, [&](const auto& item) {
        return item.second.load.in_flight == 0 && now - item.second.last_used > state_lifetime;
    });
}

} // namespace trefoil
