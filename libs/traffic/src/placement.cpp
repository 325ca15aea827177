#include <trefoil/traffic/placement.hpp>

#include <algorithm>
#include <cmath>

namespace trefoil {
namespace {

/// Cost of leaving the own failure domain, as a part of the target latency.
constexpr double other_domain_cost = 0.4;
/// Share of requests that go to a random instance.
constexpr double exploring_share = 0.01;
/// Weight of the newest time in a mean.
constexpr double newest_weight = 1.0 / 12;
/// A learnt time that is not confirmed loses half of its distance from the best in this time.
constexpr duration time_half_life = 3s;
/// A report of load counts half after this time.
constexpr duration load_half_life = 500ms;
/// How long an instance that refused for load is tried last.
constexpr duration refusal_pause = 60ms;
/// How long an instance whose node said that it leaves is avoided.
constexpr duration leaving_pause = 3s;
/// State of instances that were not used for so long is dropped.
constexpr duration state_lifetime = 60s;
constexpr duration sweep_interval = 10s;
/// Target latency of routes that name none.
constexpr duration default_target_latency = 1s;

double half_life_factor(duration age, duration half_life) {
    return std::exp2(-to_seconds(age) / to_seconds(half_life));
}

} // namespace

std::optional<listed_instance> placement::choose(time_point now,
                                                 const instance_directory& directory,
                                                 const placement_request& request) {
    forget_unused(now);
    std::vector<candidate> own;
    std::vector<candidate> others;
    std::vector<const listed_instance*> closed;
    for (const auto& entry : directory.usable(request.service)) {
        const bool was_tried = std::find(request.excluded.begin(), request.excluded.end(),
                                         entry.id) != request.excluded.end();
        if (was_tried) {
            continue;
        }
        if (!is_open(now, entry)) {
            closed.push_back(&entry);
            continue;
        }
        auto& list = entry.domain == own_ ? own : others;
        list.push_back({&entry, cost(now, entry, request)});
    }
    if (own.empty() && others.empty()) {
        // Everything is ejected or leaving: work is still tried, at random.
        if (closed.empty()) {
            return std::nullopt;
        }
        return *closed[random_.below(closed.size())];
    }
    if (own.size() + others.size() > 1 && random_.unit() < exploring_share) {
        const auto index = random_.below(own.size() + others.size());
        return index < own.size() ? *own[index].entry : *others[index - own.size()].entry;
    }
    std::vector<candidate> drawn;
    const auto draw = [&](const std::vector<candidate>& from) {
        if (!from.empty()) {
            drawn.push_back(from[random_.below(from.size())]);
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

bool placement::is_open(time_point now, const listed_instance& entry) const {
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
        return state.in_flight == 0;
    }
    return true;
}

double placement::occupancy(time_point now, const listed_instance& entry,
                            const instance_state& state) const {
    const double slots = std::max<double>(entry.slots, 1);
    if (!state.load) {
        return state.in_flight / slots;
    }
    const auto& load = *state.load;
    const double limit = std::max<double>(load.limit, 1);
    const double fresh = half_life_factor(now - state.load_at, load_half_life);
    const double since = static_cast<double>(state.in_flight) - state.in_flight_at_report;
    const double reported = (load.in_flight + load.queued + since) / limit;
    return std::max(fresh * reported, state.in_flight / slots);
}

double placement::cost(time_point now, const listed_instance& entry,
                       const placement_request& request) const {
    const auto target =
        request.target_latency > duration{0} ? request.target_latency : default_target_latency;
    const double base = entry.domain == own_ ? 0 : other_domain_cost;
    const auto best = best_times_.find(request.route);
    const double best_us = best == best_times_.end() ? 0 : best->second.mean_us;
    const auto found = states_.find(entry.id);
    if (found == states_.end()) {
        return base + best_us / static_cast<double>(target.count());
    }
    const auto& state = found->second;
    double expected_us = best_us;
    const auto learnt = state.times.find(request.route);
    if (learnt != state.times.end()) {
        const double trust = half_life_factor(now - learnt->second.at, time_half_life);
        expected_us += (learnt->second.mean_us - best_us) * trust;
    }
    const double load = occupancy(now, entry, state);
    const double refusing = now < state.refusing_until ? 1.0 : 0.0;
    return base + expected_us / static_cast<double>(target.count()) + load * load + refusing;
}

void placement::started(time_point now, const instance_id& instance) {
    auto& state = states_[instance];
    ++state.in_flight;
    state.last_used = now;
}

health_change placement::finished(time_point now, const placement_request& request,
                                  const instance_id& instance, const placement_result& result) {
    auto& state = states_[instance];
    state.in_flight -= state.in_flight > 0 ? 1 : 0;
    state.last_used = now;
    if (result.load) {
        state.load = result.load;
        state.load_at = now;
        state.in_flight_at_report = state.in_flight;
    }
    if (result.end == attempt_result::answered) {
        good_at_[request.service] = now;
        learn(now, request, state, result.took);
    } else if (result.end == attempt_result::refused_load) {
        state.refusing_until = now + refusal_pause;
    }
    const auto good = good_at_.find(request.service);
    const auto event = state.health.note(
        now, result.end, good == good_at_.end() ? std::nullopt : std::optional(good->second));
    return {instance, event, state.health.state(now)};
}

void placement::learn(time_point now, const placement_request& request, instance_state& state,
                      duration took) {
    const auto took_us = static_cast<double>(took.count());
    auto& entry = state.times.try_emplace(request.route, learnt_time{took_us, now}).first->second;
    entry.mean_us += (took_us - entry.mean_us) * newest_weight;
    entry.at = now;
    auto& best =
        best_times_.try_emplace(request.route, learnt_time{entry.mean_us, now}).first->second;
    const double drift = 1.0 - half_life_factor(now - best.at, 8 * time_half_life);
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

void placement::forget_unused(time_point now) {
    if (now < next_sweep_) {
        return;
    }
    next_sweep_ = now + sweep_interval;
    std::erase_if(states_, [&](const auto& item) {
        return item.second.in_flight == 0 && now - item.second.last_used > state_lifetime;
    });
}

} // namespace trefoil
