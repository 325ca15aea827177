#include <trefoil/traffic/downstream_level.hpp>

#include <algorithm>
#include <cmath>

#include <trefoil/traffic/call_tree.hpp>

namespace trefoil {

downstream_level::state& downstream_level::present(time_point now, const std::string& route,
                                                   std::uint32_t priority) {
    auto& at = states_[{route, priority}];
    const auto passed = (now - at.window_began) / window;
    if (passed > 0) {
        close_window(at);
        rest(at, passed - 1);
        at.window_began = now;
    }
    return at;
}

void downstream_level::close_window(state& at) {
    const auto runs = at.clear + at.busy + at.refused;
    if (runs == 0) {
        rest(at, 1);
        return;
    }
    // What the runs show holds also for the windows before in which none ended.
    const auto windows = at.silent_windows + 1;
    at.silent_windows = 0;
    if (at.refused > 0) {
        const double share = at.refused / std::max<double>(runs, least_runs);
        at.level *= 1 - fall * share;
        at.clear_windows = 0;
    } else if (at.busy > 0) {
        const double share = static_cast<double>(at.busy) / runs;
        at.level *= std::pow(1 - busy_fall * share, static_cast<double>(windows));
        at.clear_windows = 0;
    } else {
        // Windows of a long silence have counted already.
        rise_for(at, std::min(windows, longest_silence));
    }
    at.level = std::max(at.level, lowest);
    at.clear = 0;
    at.busy = 0;
    at.refused = 0;
}

void downstream_level::rest(state& at, std::int64_t windows) {
    const auto known = std::clamp<std::int64_t>(longest_silence - at.silent_windows, 0, windows);
    at.silent_windows += windows;
    at.clear_windows += known;
    rise_for(at, windows - known);
}

void downstream_level::rise_for(state& at, std::int64_t windows) {
    while (windows-- > 0 && at.level < 1) {
        ++at.clear_windows;
        const auto impatient = std::max<std::int64_t>(at.clear_windows - patient_windows, 0);
        const auto steps = impatient * steps_per_window + 1;
        at.level = std::min(at.level + rise * static_cast<double>(steps), 1.0);
    }
}

void downstream_level::note(time_point now, const std::string& route, std::uint32_t priority,
                            room_below seen) {
    auto& at = present(now, route, priority);
    switch (seen) {
    case room_below::clear:
        ++at.clear;
        break;
    case room_below::busy:
        ++at.busy;
        break;
    case room_below::refused:
        ++at.refused;
        break;
    }
}

double downstream_level::level(time_point now, const std::string& route, std::uint32_t priority) {
    return present(now, route, priority).level;
}

bool downstream_level::admits(time_point now, const std::string& route, std::uint32_t priority,
                              std::uint32_t share) {
    return share < level(now, route, priority) * share_count;
}

} // namespace trefoil
