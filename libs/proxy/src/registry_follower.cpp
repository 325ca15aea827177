#include <trefoil/proxy/registry_follower.hpp>

#include <algorithm>
#include <utility>

namespace trefoil {

std::string_view name_of(registry_error problem) {
    switch (problem) {
    case registry_error::unreachable:
        return "unreachable";
    case registry_error::refused:
        return "refused";
    case registry_error::history_gone:
        return "history_gone";
    case registry_error::bad_answer:
        return "bad_answer";
    }
    return "unknown";
}

duration watch_coalescing_delay(duration drain_time, duration config_time, bool is_settling) {
    constexpr double delay_share = 0.45;
    constexpr duration startup_delay = 250ms;
    const auto allowed = static_cast<double>(std::min(drain_time, config_time).count());
    const duration delay(static_cast<duration::rep>(allowed * delay_share));
    return is_settling ? std::min(startup_delay, delay) : delay;
}

registry_step registry_follower::next_step() {
    if (failures_ > 0 && !has_backed_off_) {
        has_backed_off_ = true;
        constexpr std::uint32_t max_doublings = 3;
        const auto full = std::min<duration>(
            initial_backoff * (1U << std::min(failures_ - 1, max_doublings)), max_backoff);
        const auto half = full / 2;
        return delay_next_request{half + duration(static_cast<duration::rep>(random_.below(
                                             static_cast<std::uint64_t>(half.count()))))};
    }
    if (!revision_) {
        return read_registry{};
    }
    if (std::exchange(must_delay_watch_, false)) {
        return delay_next_request{coalescing_delay_};
    }
    return watch_registry{*revision_, max_watch_wait};
}

void registry_follower::record_success(std::uint64_t revision, bool has_events) {
    failures_ = 0;
    has_backed_off_ = false;
    must_delay_watch_ = revision_ && has_events && coalescing_delay_ > duration{0};
    if (!revision_ || has_events) {
        revision_ = std::max(revision_.value_or(0), revision);
    }
}

void registry_follower::record_failure(registry_error why) {
    revision_.reset();
    has_backed_off_ = false;
    must_delay_watch_ = false;
    if (why != registry_error::history_gone) {
        ++failures_;
    }
}

} // namespace trefoil
