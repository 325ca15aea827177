#include <trefoil/proxy/registry_follower.hpp>

#include <algorithm>
#include <utility>

namespace trefoil {
namespace {

constexpr std::uint32_t max_doublings = 3;
/// Wait of a watch that is to be answered at once.
constexpr duration probe_wait = 1ms;

duration fraction_of(duration whole, double share) {
    return duration(static_cast<duration::rep>(static_cast<double>(whole.count()) * share));
}

} // namespace

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
    case registry_error::outdated:
        return "outdated";
    }
    return "unknown";
}

registry_timing registry_timing_for(const registry_bounds& bounds, bool is_settling,
                                    reading_role role) {
    constexpr double wait_share = 0.45;
    constexpr double timeout_share = 0.13;
    constexpr double max_timeout_share = 0.4;
    constexpr double max_connect_share = 0.25;
    constexpr double coalescing_share = 0.45;
    constexpr duration startup_coalescing_delay = 250ms;
    const auto change_bound = bounds.change_bound();
    const auto recovery_bound = std::max(bounds.stable_window, change_bound);
    registry_timing timing;
    timing.watch_wait = fraction_of(recovery_bound, wait_share);
    timing.answer_timeout = fraction_of(recovery_bound, timeout_share);
    timing.max_answer_timeout = fraction_of(recovery_bound, max_timeout_share);
    timing.max_connect_timeout = fraction_of(recovery_bound, max_connect_share);
    timing.coalescing_delay = fraction_of(change_bound, coalescing_share);
    if (bounds.revocation_bound) {
        constexpr double revocation_wait_share = 0.25;
        constexpr double revocation_share_after_changes = 0.1;
        const auto bound = *bounds.revocation_bound;
        timing.watch_wait = std::min(timing.watch_wait, fraction_of(bound, revocation_wait_share));
        timing.watch_wait_after_changes = fraction_of(bound, revocation_share_after_changes);
    }
    if (role == reading_role::for_others) {
        constexpr double reader_wait_share = 0.25;
        constexpr double reader_share_after_changes = 0.075;
        timing.watch_wait = fraction_of(change_bound, reader_wait_share);
        timing.coalescing_delay = fraction_of(change_bound, reader_share_after_changes);
        timing.watch_wait_after_changes = timing.coalescing_delay;
    }
    if (role == reading_role::fallback) {
        timing.watch_wait = probe_wait;
        timing.coalescing_delay = duration{0};
        timing.watch_wait_after_changes.reset();
    }
    if (is_settling) {
        timing.coalescing_delay = std::min(timing.coalescing_delay, startup_coalescing_delay);
    }
    return timing;
}

duration hold_time_for(const registry_bounds& bounds, duration since_failure) {
    // The rest of the window is for requests that are on their way.
    constexpr double window_share = 0.95;
    const auto safe = fraction_of(bounds.stable_window, window_share) - since_failure;
    return std::clamp(safe, duration{0}, instance_directory::lapse_grace);
}

duration registry_follower::backoff() {
    const auto doublings = std::min(failures_ - 1, max_doublings);
    const auto longest =
        last_error_ == registry_error::unreachable ? max_backoff_unreachable : max_backoff;
    const auto full = std::min<duration>(initial_backoff * (1U << doublings), longest);
    const auto half = full / 2;
    const auto jitter = random_.below(static_cast<std::uint64_t>(half.count()));
    return half + duration(static_cast<duration::rep>(jitter));
}

duration registry_follower::answer_timeout() const {
    const auto doublings = std::min(failures_ > 0 ? failures_ - 1 : 0, max_doublings);
    return std::min<duration>(timing_.answer_timeout * (1U << doublings),
                              timing_.max_answer_timeout);
}

registry_step registry_follower::next_step() {
    if (failures_ > 0 && !std::exchange(has_backed_off_, true)) {
        return delay_next_request{backoff()};
    }
    if (!revision_) {
        return read_registry{answer_timeout()};
    }
    if (std::exchange(must_delay_watch_, false)) {
        return delay_next_request{timing_.coalescing_delay};
    }
    const auto first_wait = timing_.watch_wait_after_changes.value_or(timing_.watch_wait);
    const auto usual_wait = is_after_changes_ ? first_wait : timing_.watch_wait;
    const auto wait = failures_ > 0 ? probe_wait : usual_wait;
    return watch_registry{*revision_, wait, answer_timeout()};
}

void registry_follower::record_success(std::uint64_t revision, bool has_events) {
    failures_ = 0;
    has_backed_off_ = false;
    is_after_changes_ = revision_ && has_events;
    must_delay_watch_ = is_after_changes_ && timing_.coalescing_delay > duration{0};
    if (!revision_ || has_events) {
        revision_ = std::max(revision_.value_or(0), revision);
    }
}

void registry_follower::record_relayed(std::uint64_t revision) {
    revision_ = std::max(revision_.value_or(0), revision);
}

void registry_follower::begin_era(std::optional<std::uint64_t> revision) {
    revision_ = revision;
    failures_ = 0;
    has_backed_off_ = false;
    must_delay_watch_ = false;
    is_after_changes_ = false;
}

void registry_follower::record_failure(registry_error why) {
    has_backed_off_ = false;
    must_delay_watch_ = false;
    last_error_ = why;
    const bool must_read_again = why == registry_error::history_gone ||
                                 why == registry_error::bad_answer ||
                                 why == registry_error::outdated;
    if (must_read_again) {
        revision_.reset();
    }
    // A registry that says what it no longer has is there: the read follows at once.
    failures_ = why == registry_error::history_gone ? 0 : failures_ + 1;
}

} // namespace trefoil
