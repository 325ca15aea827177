#include <trefoil/admission/chain_levels.hpp>

#include <algorithm>
#include <cmath>

namespace trefoil {
namespace {

/// A level that was heard this long ago begins to rise, at recovery speed 0 and 1.
constexpr duration longest_hold = 1s;
constexpr duration shortest_hold = 250ms;
/// From then on it has risen by this many positions, and twice as many after each half of the time
/// for which it was held.
constexpr double first_rise = 64;

} // namespace

heard_levels::heard_levels(double recovery_speed) {
    const double ratio = to_seconds(shortest_hold) / to_seconds(longest_hold);
    const double factor = std::pow(ratio, recovery_speed);
    hold_ = duration(static_cast<duration::rep>(longest_hold.count() * factor));
}

void heard_levels::hear(time_point now, call_side side, const service_name& service,
                        const kind_level& level) {
    auto& levels = side == call_side::first_leg ? first_leg_ : below_;
    levels[level.kind][service] = {level.threshold, now};
}

std::uint32_t heard_levels::risen(time_point now, const heard_level& level) const {
    const auto age = now - level.at;
    if (age <= hold_) {
        return level.threshold;
    }
    const double doublings = to_seconds(age - hold_) / to_seconds(hold_ / 2);
    const double rise = first_rise * std::exp2(doublings);
    return static_cast<std::uint32_t>(std::min<double>(level.threshold + rise, admit_all));
}

std::uint32_t heard_levels::first_leg_threshold(time_point now, const service_name& service,
                                                const std::string& kind) const {
    const auto levels = first_leg_.find(kind);
    if (levels == first_leg_.end()) {
        return admit_all;
    }
    const auto found = levels->second.find(service);
    return found == levels->second.end() ? admit_all : risen(now, found->second);
}

std::uint32_t heard_levels::threshold_below(time_point now, const std::string& kind) const {
    std::uint32_t lowest = admit_all;
    const auto levels = below_.find(kind);
    if (levels != below_.end()) {
        for (const auto& entry : levels->second) {
            lowest = std::min(lowest, risen(now, entry.second));
        }
    }
    return lowest;
}

void level_reports::called(incarnation_id peer, const std::string& kind, std::uint32_t priority) {
    peers_[peer].kinds[kind].priority = priority;
}

bool level_reports::is_due(time_point now, incarnation_id peer) const {
    const auto found = peers_.find(peer);
    return found != peers_.end() && now >= found->second.next_at;
}

std::uint32_t level_reports::without_need(std::uint32_t priority, std::uint32_t threshold) {
    return threshold >= (priority + 1) * positions_per_priority ? admit_all : threshold;
}

} // namespace trefoil
