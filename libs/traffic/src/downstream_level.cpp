#include <trefoil/traffic/downstream_level.hpp>

#include <algorithm>

#include <trefoil/traffic/call_tree.hpp>

namespace trefoil {

downstream_level::state& downstream_level::present(time_point now, const std::string& route,
                                                   std::uint32_t priority) {
    auto& at = states_[{route, priority}];
    const auto passed = (now - at.window_began) / window;
    if (passed > 0) {
        close_windows(at, passed);
        at.window_began = now;
        at.began = 0;
        at.refused = 0;
    }
    return at;
}

void downstream_level::close_windows(state& at, std::int64_t count) {
    if (at.refused > 0) {
        const double refused_share =
            std::min(1.0, at.refused / std::max<double>(at.began, least_runs));
        at.level = std::max(at.level * (1 - fall * refused_share), lowest);
        at.clean_windows = 0;
        --count;
    }
    while (count-- > 0 && at.level < 1) {
        ++at.clean_windows;
        const auto impatient = std::max<std::int64_t>(at.clean_windows - patient_windows, 0);
        const auto steps = impatient * steps_per_window + 1;
        at.level = std::min(at.level + rise * static_cast<double>(steps), 1.0);
    }
}

void downstream_level::began(time_point now, const std::string& route, std::uint32_t priority) {
    ++present(now, route, priority).began;
}

void downstream_level::call_refused(time_point now, const std::string& route,
                                    std::uint32_t priority) {
    ++present(now, route, priority).refused;
}

double downstream_level::level(time_point now, const std::string& route, std::uint32_t priority) {
    return present(now, route, priority).level;
}

bool downstream_level::admits(time_point now, const std::string& route, std::uint32_t priority,
                              std::uint32_t share) {
    return share < level(now, route, priority) * share_count;
}

} // namespace trefoil
