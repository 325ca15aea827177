#include <trefoil/proxy/registry_follower.hpp>

#include <algorithm>
#include <utility>

namespace trefoil {

std::string_view name_of(registry_problem problem) {
    switch (problem) {
    case registry_problem::unreachable:
        return "unreachable";
    case registry_problem::refused:
        return "refused";
    case registry_problem::history_gone:
        return "history_gone";
    case registry_problem::bad_answer:
        return "bad_answer";
    }
    return "unknown";
}

duration rest_between_watches(duration drain_time, duration config_time, bool is_settling) {
    constexpr double resting_share = 0.45;
    constexpr duration settling_rest = 250ms;
    const auto allowed = static_cast<double>(std::min(drain_time, config_time).count());
    const duration rest(static_cast<duration::rep>(allowed * resting_share));
    return is_settling ? std::min(settling_rest, rest) : rest;
}

follow_step registry_follower::next() {
    if (failures_ > 0 && !has_paused_) {
        has_paused_ = true;
        constexpr std::uint32_t max_doublings = 3;
        const auto full = std::min<duration>(
            first_pause * (1U << std::min(failures_ - 1, max_doublings)), longest_pause);
        const auto half = full / 2;
        return pause_registry{half + duration(static_cast<duration::rep>(
                                         random_.below(static_cast<std::uint64_t>(half.count()))))};
    }
    if (!revision_) {
        return read_registry{};
    }
    if (std::exchange(must_rest_, false)) {
        return pause_registry{rest_};
    }
    return watch_registry{*revision_, watch_wait};
}

void registry_follower::succeeded(std::uint64_t revision, bool has_events) {
    failures_ = 0;
    has_paused_ = false;
    must_rest_ = revision_ && has_events && rest_ > duration{0};
    if (!revision_ || has_events) {
        revision_ = std::max(revision_.value_or(0), revision);
    }
}

void registry_follower::failed(registry_problem why) {
    revision_.reset();
    has_paused_ = false;
    must_rest_ = false;
    if (why != registry_problem::history_gone) {
        ++failures_;
    }
}

} // namespace trefoil
