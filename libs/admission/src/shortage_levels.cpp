#include <trefoil/admission/shortage_levels.hpp>

#include <algorithm>
#include <cmath>

namespace trefoil {
namespace {

/// Positions of one request bucket: one for calls of targets, one for requests of callers.
constexpr std::uint32_t positions_per_bucket = 2;
/// Time constant of the moving average over the answers, and the most that one answer counts.
constexpr duration smoothing_time = 100ms;
constexpr double max_answer_weight = 0.4;
/// Weight of the newest answer in the moving average of the cost of a route.
constexpr double cost_weight = 1.0 / 16;
/// Age at which a level that is not told any more begins to rise.
constexpr duration hold_time = 500ms;
/// Rise in positions once a level has reached that age. It doubles with each further half of the
/// hold time.
constexpr double initial_rise = 16;
/// Time between two probes of a service by requests that begin at this node.
constexpr duration probe_interval = 500ms;
/// Age at which a level that is not told any more is forgotten, and no request is a probe.
constexpr duration level_lifetime = 5s;
/// Routes beyond this number, and services beyond this number for a route, are not recorded.
constexpr std::size_t max_routes = 256;
constexpr std::size_t max_services = 8;

} // namespace

std::uint32_t shedding_position(std::uint32_t priority, std::uint32_t request_bucket,
                                bool is_nested) {
    constexpr std::uint32_t lowest_priority = admit_all / positions_per_priority - 1;
    constexpr std::uint32_t last_bucket = positions_per_priority / positions_per_bucket - 1;
    const auto within =
        std::min(request_bucket, last_bucket) * positions_per_bucket + (is_nested ? 0 : 1);
    return std::min(priority, lowest_priority) * positions_per_priority + within;
}

void shortage_levels::record(time_point now, const std::string& route, std::uint32_t priority,
                             const std::optional<shortage_level>& told) {
    raise_top((priority + 1.0) * positions_per_priority);
    auto* state = state_of(route);
    if (state == nullptr) {
        return;
    }
    const bool is_new_service = told && std::find(state->services.begin(), state->services.end(),
                                                  told->service) == state->services.end();
    if (is_new_service && state->services.size() < max_services) {
        state->services.push_back(told->service);
    }
    for (const auto& service : state->services) {
        auto& level =
            levels_.try_emplace(service, service_level{top(), now, now, {}, {}}).first->second;
        record_level(now, service, level, told);
    }
    if (told || (state->services.empty() && is_any_short(now))) {
        const double spent = told ? static_cast<double>(told->spent.count()) : 0;
        const double previous = state->cost_us.value_or(spent);
        state->cost_us = previous + cost_weight * (spent - previous);
    }
}

void shortage_levels::raise_top(double end_of_priority) {
    const double previous = top_;
    top_ = std::clamp<double>(end_of_priority, top_, admit_all);
    for (auto& entry : levels_) {
        auto& threshold = entry.second.threshold;
        threshold = std::ceil(threshold) >= previous ? std::max(threshold, top_) : threshold;
    }
}

void shortage_levels::record_level(time_point now, const service_name& service,
                                   service_level& level,
                                   const std::optional<shortage_level>& told) const {
    if (!told) {
        move_towards(now, level, top());
        return;
    }
    if (told->service != service) {
        // An answer tells the lowest level: that of this service is not below it.
        if (effective_threshold(now, level) < told->threshold) {
            move_towards(now, level, told->threshold);
        }
        return;
    }
    if (told->threshold < admit_all) {
        move_towards(now, level, told->threshold);
    }
    if (told->threshold < top() || told->threshold >= admit_all) {
        const bool was_short = now - level.short_at < hold_time;
        level.since = was_short ? level.since : now;
        level.short_at = now;
    }
}

void shortage_levels::move_towards(time_point now, service_level& level, double told) const {
    const double bounded = std::min(told, top());
    const double age = to_seconds(now - level.told_at) / to_seconds(smoothing_time);
    const double weight = std::clamp(1 - std::exp(-age), 0.02, max_answer_weight);
    // A rise counts only as far as the answer confirms it.
    const double risen = std::min(effective_threshold(now, level), top());
    const double present = std::clamp(bounded, std::min(level.threshold, risen), risen);
    level.threshold = present + weight * (bounded - present);
    level.told_at = now;
}

double shortage_levels::effective_threshold(time_point now, const service_level& level) const {
    const auto age = now - level.told_at;
    if (age <= hold_time) {
        return level.threshold;
    }
    const double doublings = to_seconds(age - hold_time) / to_seconds(hold_time / 2);
    return std::min<double>(level.threshold + initial_rise * std::exp2(doublings), admit_all);
}

bool shortage_levels::is_any_short(time_point now) const {
    return std::any_of(levels_.begin(), levels_.end(),
                       [&](const auto& entry) { return now - entry.second.short_at < hold_time; });
}

shortage_levels::route_state* shortage_levels::state_of(const std::string& route) {
    const auto found = routes_.find(route);
    if (found != routes_.end()) {
        return &found->second;
    }
    return routes_.size() < max_routes ? &routes_[route] : nullptr;
}

const shortage_levels::service_level* shortage_levels::lowest(time_point now,
                                                              const std::string& route) const {
    const auto state = routes_.find(route);
    const service_level* lowest = nullptr;
    if (state == routes_.end()) {
        return lowest;
    }
    for (const auto& service : state->second.services) {
        const auto& level = levels_.at(service);
        const bool is_lower = lowest == nullptr ||
                              effective_threshold(now, level) < effective_threshold(now, *lowest);
        lowest = is_lower ? &level : lowest;
    }
    return lowest;
}

std::uint32_t shortage_levels::threshold(time_point now, const std::string& route) const {
    const auto* level = lowest(now, route);
    if (level == nullptr) {
        return admit_all;
    }
    // The moving average approaches the top without reaching it.
    const double value = std::ceil(effective_threshold(now, *level));
    return value >= top() ? admit_all : static_cast<std::uint32_t>(value);
}

bool shortage_levels::is_probe(time_point now, const service_level& level,
                               std::uint32_t position) const {
    const bool is_short = std::ceil(level.threshold) < top();
    return is_short && position >= std::ceil(level.threshold) &&
           now - level.told_at < level_lifetime;
}

bool shortage_levels::admits(time_point now, const std::string& route, std::uint32_t position) {
    if (position >= threshold(now, route)) {
        return false;
    }
    const auto state = routes_.find(route);
    if (state == routes_.end()) {
        return true;
    }
    std::vector<service_level*> probed;
    for (const auto& service : state->second.services) {
        auto& level = levels_.at(service);
        if (!is_probe(now, level, position)) {
            continue;
        }
        if (now - level.probed_at < probe_interval) {
            return false;
        }
        probed.push_back(&level);
    }
    for (auto* level : probed) {
        level->probed_at = now;
    }
    return true;
}

std::optional<shortage_level> shortage_levels::level_of(time_point now,
                                                        const service_name& service) const {
    const auto found = levels_.find(service);
    if (found == levels_.end()) {
        return std::nullopt;
    }
    const double value = std::ceil(effective_threshold(now, found->second));
    if (value >= top()) {
        return std::nullopt;
    }
    return shortage_level{service, static_cast<std::uint32_t>(value), duration{0}};
}

bool shortage_levels::leads_to_short_service(time_point now, const std::string& route) const {
    const auto state = routes_.find(route);
    return state != routes_.end() &&
           std::any_of(
               state->second.services.begin(), state->second.services.end(),
               [&](const auto& service) { return now - levels_.at(service).short_at < hold_time; });
}

double shortage_levels::relative_cost(const std::string& route) const {
    double sum = 0;
    int known = 0;
    for (const auto& entry : routes_) {
        const double cost = entry.second.cost_us.value_or(0);
        sum += cost;
        known += cost > 0 ? 1 : 0;
    }
    const auto found = routes_.find(route);
    if (known == 0 || found == routes_.end() || !found->second.cost_us) {
        return 1;
    }
    return *found->second.cost_us * known / sum;
}

duration shortage_levels::expected_wait(time_point now, const std::string& route,
                                        std::uint32_t position) const {
    const auto* level = lowest(now, route);
    if (level == nullptr || position < threshold(now, route)) {
        return duration{0};
    }
    const double distance = position - effective_threshold(now, *level);
    const double lasted = to_seconds(now - level->since);
    return from_seconds(lasted * (1 + distance / positions_per_priority));
}

} // namespace trefoil
