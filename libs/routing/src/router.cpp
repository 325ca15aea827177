#include <trefoil/routing/router.hpp>

#include <algorithm>
#include <cmath>

namespace trefoil {
namespace {

/// Time in which the weight of a load report halves.
constexpr duration load_half_life = 500ms;
/// State of instances and services that were not called for this time is evicted.
constexpr duration state_lifetime = 60s;
constexpr duration sweep_interval = 10s;
constexpr int tier_count = 3;

/// Tier of a member: 0 for the own failure domain, 1 for the own region, 2 for elsewhere.
int tier_of(const location& here, const member& there) {
    if (there.domain == here.domain) {
        return 0;
    }
    return there.region == here.region ? 1 : 2;
}

} // namespace

bool router::candidate::is_usable() const {
    if (is_excluded || state == ejection_state::ejected) {
        return false;
    }
    const bool is_trial_in_flight = peer != nullptr && peer->in_flight > 0;
    return state == ejection_state::in_use || !is_trial_in_flight;
}

std::optional<member> router::pick(time_point now, const membership& members,
                                   const service_name& service,
                                   const std::vector<instance_id>& excluded,
                                   random_source& random) {
    evict_unused(now);
    collect_candidates(now, members, service, excluded);
    limit_ejections();
    auto& state = touch_service(now, service);
    int home_tier = tier_count;
    for (const auto& entry : candidates_) {
        if (entry.state == ejection_state::in_use) {
            home_tier = std::min(home_tier, entry.tier);
        }
    }
    for (int tier = 0; tier < tier_count; ++tier) {
        const auto* chosen = choose(now, tier, random);
        if (chosen == nullptr) {
            continue;
        }
        if (tier > home_tier) {
            if (state.spill_allowance < 1) {
                return std::nullopt;
            }
            state.spill_allowance -= 1;
        } else {
            state.spill_allowance =
                std::min(state.spill_allowance + settings_.spill_share, settings_.spill_burst);
        }
        auto& peer = peers_[chosen->entry->instance];
        peer.service = service;
        peer.last_used = now;
        return *chosen->entry;
    }
    return std::nullopt;
}

void router::collect_candidates(time_point now, const membership& members,
                                const service_name& service,
                                const std::vector<instance_id>& excluded) {
    candidates_.clear();
    for (const auto& entry : members.of_service(service)) {
        if (members.is_leaving(entry.instance)) {
            continue;
        }
        candidate added{&entry, nullptr, tier_of(here_, entry), false, ejection_state::in_use};
        added.is_excluded =
            std::find(excluded.begin(), excluded.end(), entry.instance) != excluded.end();
        const auto found = peers_.find(entry.instance);
        if (found != peers_.end()) {
            added.peer = &found->second;
            added.state = settings_.is_ejection_enabled ? found->second.health.state(now)
                                                        : ejection_state::in_use;
        }
        candidates_.push_back(added);
    }
}

void router::limit_ejections() {
    const auto is_out_of_use = [](const candidate& entry) {
        return entry.state != ejection_state::in_use;
    };
    auto out_of_use = std::count_if(candidates_.begin(), candidates_.end(), is_out_of_use);
    const auto limit = static_cast<std::ptrdiff_t>(candidates_.size() / 2);
    for (; out_of_use > limit; --out_of_use) {
        candidate* oldest = nullptr;
        for (auto& entry : candidates_) {
            if (is_out_of_use(entry) &&
                (oldest == nullptr ||
                 entry.peer->health.ejected_at() < oldest->peer->health.ejected_at())) {
                oldest = &entry;
            }
        }
        oldest->state = ejection_state::in_use;
    }
}

const router::candidate* router::choose(time_point now, int tier, random_source& random) const {
    const auto matches = [tier](const candidate& entry) {
        return entry.tier == tier && entry.is_usable();
    };
    const auto count =
        static_cast<std::uint64_t>(std::count_if(candidates_.begin(), candidates_.end(), matches));
    if (count == 0) {
        return nullptr;
    }
    const auto nth = [&](std::uint64_t index) {
        auto at = std::find_if(candidates_.begin(), candidates_.end(), matches);
        for (; index > 0; --index) {
            at = std::find_if(at + 1, candidates_.end(), matches);
        }
        return &*at;
    };
    const auto first_index = random.below(count);
    const auto* first = nth(first_index);
    if (count == 1) {
        return first;
    }
    // The second choice differs from the first.
    const auto* second = nth((first_index + 1 + random.below(count - 1)) % count);
    return is_less_loaded(now, *second, *first) ? second : first;
}

bool router::is_less_loaded(time_point now, const candidate& first, const candidate& second) const {
    const auto load_of = [now](const candidate& entry) {
        if (entry.peer == nullptr) {
            return 0.0;
        }
        double load = entry.peer->in_flight;
        if (entry.peer->load) {
            const double age = to_seconds(now - entry.peer->load_at) / to_seconds(load_half_life);
            load += std::exp2(-age) * (entry.peer->load->in_flight + entry.peer->load->queued);
        }
        return load;
    };
    const auto limit_of = [](const candidate& entry) {
        const bool is_known = entry.peer != nullptr && entry.peer->load;
        return is_known ? std::max(entry.peer->load->limit, 1U) : 0U;
    };
    double first_load = load_of(first);
    double second_load = load_of(second);
    if (limit_of(first) > 0 && limit_of(second) > 0) {
        first_load /= limit_of(first);
        second_load /= limit_of(second);
    }
    return first_load < second_load;
}

router::service_state& router::touch_service(time_point now, const service_name& service) {
    const auto [found, is_new] = services_.try_emplace(service);
    if (is_new) {
        found->second.spill_allowance = settings_.spill_burst;
    }
    found->second.last_used = now;
    return found->second;
}

void router::evict_unused(time_point now) {
    if (now < next_sweep_) {
        return;
    }
    next_sweep_ = now + sweep_interval;
    std::erase_if(peers_, [now](const auto& entry) {
        const auto& peer = entry.second;
        return peer.in_flight == 0 && now - peer.last_used > state_lifetime;
    });
    std::erase_if(services_, [now](const auto& entry) {
        return now - entry.second.last_used > state_lifetime;
    });
}

void router::started(const instance_id& instance) {
    ++peers_[instance].in_flight;
}

void router::finished(time_point now, const instance_id& instance, attempt_result result,
                      const std::optional<load_report>& load) {
    const auto found = peers_.find(instance);
    if (found == peers_.end()) {
        return;
    }
    auto& peer = found->second;
    peer.in_flight -= peer.in_flight > 0 ? 1 : 0;
    peer.last_used = now;
    if (load) {
        peer.load = load;
        peer.load_at = now;
    }
    auto& state = touch_service(now, peer.service);
    if (result == attempt_result::answered) {
        state.last_success = now;
    }
    const auto change = peer.health.note(now, result, state.last_success);
    if (change != ejection_event::none && settings_.is_ejection_enabled) {
        const bool is_ejected = change == ejection_event::ejected;
        const auto ejection_time = is_ejected ? peer.health.ejected_until() - now : duration{0};
        changes_.push_back({instance, is_ejected, ejection_time});
    }
}

std::uint32_t router::in_flight(const instance_id& instance) const {
    const auto found = peers_.find(instance);
    return found == peers_.end() ? 0 : found->second.in_flight;
}

std::vector<ejection_change> router::take_changes() {
    return std::exchange(changes_, {});
}

} // namespace trefoil
