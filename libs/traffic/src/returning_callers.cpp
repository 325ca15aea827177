#include <trefoil/traffic/returning_callers.hpp>

namespace trefoil {

std::uint32_t returning_callers::place(time_point now, const std::string& route,
                                       std::uint32_t share, duration time_left) {
    auto& longest = longest_[route];
    if (time_left >= longest.time || now - longest.seen_at > memory) {
        longest = {time_left, now};
        return share;
    }
    const auto first_time = static_cast<double>(longest.time.count()) * first_time_share;
    if (static_cast<double>(time_left.count()) >= first_time) {
        longest.seen_at = now;
        return share;
    }
    return share / returning_divisor;
}

} // namespace trefoil
