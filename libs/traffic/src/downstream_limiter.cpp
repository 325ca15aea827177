#include <trefoil/traffic/downstream_limiter.hpp>

#include <algorithm>
#include <cmath>

#include <trefoil/traffic/call_tree.hpp>

namespace trefoil {

downstream_limiter::state& downstream_limiter::current(time_point now, const std::string& route,
                                                       std::uint32_t priority) {
    auto& entry = states_[{route, priority}];
    const auto passed = (now - entry.window_start) / window;
    if (passed > 0) {
        close_window(entry);
        skip_idle(entry, passed - 1);
        entry.window_start = now;
    }
    return entry;
}

void downstream_limiter::close_window(state& entry) {
    const auto runs = entry.clear + entry.busy + entry.refused;
    if (runs == 0) {
        skip_idle(entry, 1);
        return;
    }
    // The runs of this window also stand for the preceding windows without a run.
    const auto windows = entry.idle_windows + 1;
    entry.idle_windows = 0;
    if (entry.refused > 0) {
        const double fraction = entry.refused / std::max<double>(runs, min_runs);
        entry.level *= 1 - refusal_decrease * fraction;
        entry.clear_windows = 0;
    } else if (entry.busy > 0) {
        const double fraction = static_cast<double>(entry.busy) / runs;
        entry.level *= std::pow(1 - busy_decrease * fraction, static_cast<double>(windows));
        entry.clear_windows = 0;
    } else {
        // Idle windows beyond the maximum have already increased the level, see skip_idle.
        increase_for(entry, std::min(windows, max_idle_windows));
    }
    entry.level = std::max(entry.level, min_level);
    entry.clear = 0;
    entry.busy = 0;
    entry.refused = 0;
}

void downstream_limiter::skip_idle(state& entry, std::int64_t windows) {
    const auto covered =
        std::clamp<std::int64_t>(max_idle_windows - entry.idle_windows, 0, windows);
    entry.idle_windows += windows;
    entry.clear_windows += covered;
    increase_for(entry, windows - covered);
}

void downstream_limiter::increase_for(state& entry, std::int64_t windows) {
    while (windows-- > 0 && entry.level < 1) {
        ++entry.clear_windows;
        const auto accelerated = std::max<std::int64_t>(entry.clear_windows - steady_windows, 0);
        const auto steps = accelerated * steps_per_window + 1;
        entry.level = std::min(entry.level + increase_step * static_cast<double>(steps), 1.0);
    }
}

void downstream_limiter::note(time_point now, const std::string& route, std::uint32_t priority,
                              downstream_congestion seen) {
    auto& entry = current(now, route, priority);
    switch (seen) {
    case downstream_congestion::clear:
        ++entry.clear;
        break;
    case downstream_congestion::busy:
        ++entry.busy;
        break;
    case downstream_congestion::refused:
        ++entry.refused;
        break;
    }
}

double downstream_limiter::admitted_fraction(time_point now, const std::string& route,
                                             std::uint32_t priority) {
    return current(now, route, priority).level;
}

bool downstream_limiter::admits(time_point now, const std::string& route, std::uint32_t priority,
                                std::uint32_t request_bucket) {
    return request_bucket < admitted_fraction(now, route, priority) * request_bucket_count;
}

} // namespace trefoil
