#include <trefoil/traffic/completion_placement.hpp>

#include <algorithm>

#include <trefoil/work/work_rule.hpp>

namespace trefoil {
namespace {

/// Time for which a failure domain that could not be reached gets no requests of others.
constexpr duration unreachable_time = 1s;
/// An instance elsewhere is used if its lack of room is at most this share of the lack at home.
constexpr double least_gain = 0.5;

bool has_room(const completion_candidate& candidate) {
    return candidate.cost.pressure() < domain_overflow::begin_pressure;
}

double least_pressure(const std::vector<completion_candidate>& from) {
    const auto least = std::min_element(from.begin(), from.end(), [](const auto& a, const auto& b) {
        return a.cost.pressure() < b.cost.pressure();
    });
    return least->cost.pressure();
}

} // namespace

bool uses_expected_work(const std::vector<listed_instance>& instances, bool has_workspaces) {
    return std::any_of(instances.begin(), instances.end(), [&](const listed_instance& entry) {
        return uses_expected_work(entry.slots, has_workspaces);
    });
}

instance_work completion_placement::work_at(time_point now, const service_name& service,
                                            const std::string& route,
                                            const instance_id& instance) const {
    const auto found = services_.find(service);
    if (found == services_.end()) {
        return {};
    }
    const auto& known = found->second;
    const double speed = known.speeds.speed(now, instance);
    const auto divided = [&](duration work) {
        return duration(static_cast<duration::rep>(static_cast<double>(work.count()) / speed));
    };
    return {divided(known.work.expected(now, route)), divided(known.work.mean())};
}

const completion_candidate& completion_placement::draw(const candidates& from) {
    std::vector<const completion_candidate*> eligible;
    for (const auto& candidate : from) {
        if (has_room(candidate)) {
            eligible.push_back(&candidate);
        }
    }
    if (eligible.empty()) {
        for (const auto& candidate : from) {
            eligible.push_back(&candidate);
        }
    }
    const auto first = random_.below(eligible.size());
    auto second = random_.below(std::max<std::size_t>(eligible.size() - 1, 1));
    second += second >= first && eligible.size() > 1 ? 1 : 0;
    const auto& left = *eligible[first];
    const auto& right = *eligible[second];
    return right.cost.total() < left.cost.total() ? right : left;
}

completion_placement::candidates
completion_placement::reachable(time_point now, const candidates& others, bool was_refused) const {
    candidates result;
    for (const auto& candidate : others) {
        const auto failed = unreachable_until_.find(candidate.entry->domain);
        const bool is_reachable = failed == unreachable_until_.end() || now >= failed->second;
        if (is_reachable && (was_refused || has_room(candidate))) {
            result.push_back(candidate);
        }
    }
    return result;
}

const listed_instance& completion_placement::choose(time_point now, const service_name& service,
                                                    const completion_candidates& candidates,
                                                    bool was_refused) {
    if (candidates.own.empty()) {
        ++crossings_.no_instance;
        const auto others = candidates.others();
        const auto open = reachable(now, others, true);
        return *draw(open.empty() ? others : open).entry;
    }
    const double pressure = least_pressure(candidates.own);
    const double share = services_[service].overflow.share(pressure);
    const auto& home = draw(candidates.own);
    if (share <= 0 || random_.unit() >= share) {
        return *home.entry;
    }
    const auto open = reachable(now, candidates.others(), was_refused);
    if (open.empty()) {
        return *home.entry;
    }
    const auto& away = draw(open);
    if (away.cost.pressure() >= least_gain * home.cost.pressure()) {
        return *home.entry;
    }
    ++(pressure < domain_overflow::begin_pressure ? crossings_.with_room : crossings_.lack_of_room);
    return *away.entry;
}

void completion_placement::answered(time_point now, const service_name& service,
                                    const std::string& route, const instance_id& instance,
                                    duration service_time) {
    auto& known = services_[service];
    const auto expected = known.work.expected(now, route);
    if (expected > duration{0}) {
        known.speeds.record(now, instance,
                            static_cast<double>(service_time.count()) /
                                static_cast<double>(expected.count()));
    }
    const double work_us =
        static_cast<double>(service_time.count()) * known.speeds.speed(now, instance);
    known.work.record(now, route, duration(static_cast<duration::rep>(work_us)));
}

void completion_placement::domain_failed(time_point now, const domain_name& domain) {
    unreachable_until_[domain] = now + unreachable_time;
}

void completion_placement::evict_unused(time_point now) {
    std::erase_if(unreachable_until_, [&](const auto& item) { return now >= item.second; });
    for (auto& [service, known] : services_) {
        known.speeds.evict_unused(now);
    }
}

double completion_placement::speed(time_point now, const service_name& service,
                                   const instance_id& instance) const {
    const auto found = services_.find(service);
    return found == services_.end() ? 1 : found->second.speeds.speed(now, instance);
}

} // namespace trefoil
