#include <trefoil/routing/router.hpp>

#include <algorithm>
#include <cmath>

namespace trefoil {
namespace {

constexpr duration load_half_life = 500ms;

int distance(const location& here, const member& there) {
    if (there.domain == here.domain) {
        return 0;
    }
    return there.region == here.region ? 1 : 2;
}

} // namespace

std::optional<member> router::pick(time_point now, const membership& members,
                                   const service_name& service,
                                   const std::vector<instance_id>& excluded,
                                   random_source& random) {
    std::vector<const member*> nearest;
    int nearest_distance = 3;
    for (const auto& candidate : members.of_service(service)) {
        const bool is_excluded =
            std::find(excluded.begin(), excluded.end(), candidate.instance) != excluded.end();
        if (is_excluded || members.is_leaving(candidate.instance)) {
            continue;
        }
        const int candidate_distance = distance(here_, candidate);
        if (candidate_distance < nearest_distance) {
            nearest.clear();
            nearest_distance = candidate_distance;
        }
        if (candidate_distance == nearest_distance) {
            nearest.push_back(&candidate);
        }
    }
    if (nearest.empty()) {
        return std::nullopt;
    }
    const auto* first = nearest[random.below(nearest.size())];
    const auto* second = nearest[random.below(nearest.size())];
    return cost_of(now, first->instance) <= cost_of(now, second->instance) ? *first : *second;
}

double router::cost_of(time_point now, const instance_id& instance) const {
    const auto found = peers_.find(instance);
    if (found == peers_.end()) {
        return 0;
    }
    double cost = found->second.in_flight;
    if (found->second.load) {
        const double age = to_seconds(now - found->second.load_at) / to_seconds(load_half_life);
        const auto& load = *found->second.load;
        cost += std::exp2(-age) * (load.in_flight + load.queued);
    }
    return cost;
}

void router::started(const instance_id& instance) {
    ++peers_[instance].in_flight;
}

void router::finished(time_point now, const instance_id& instance, attempt_result,
                      const std::optional<load_report>& load) {
    auto& peer = peers_[instance];
    peer.in_flight -= peer.in_flight > 0 ? 1 : 0;
    if (load) {
        peer.load = load;
        peer.load_at = now;
    }
}

std::uint32_t router::in_flight(const instance_id& instance) const {
    const auto found = peers_.find(instance);
    return found == peers_.end() ? 0 : found->second.in_flight;
}

} // namespace trefoil
