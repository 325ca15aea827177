#include <trefoil/admission/chain_levels.hpp>

#include <algorithm>
#include <cmath>

namespace trefoil {
namespace {

/// Age at which a reported threshold begins to rise, at recovery speed 0 and 1.
constexpr duration max_hold_time = 1s;
constexpr duration min_hold_time = 250ms;
/// Rise in positions once a threshold has reached that age. The rise doubles with each further half
/// of the hold time.
constexpr double initial_rise = 64;

} // namespace

downstream_levels::downstream_levels(double recovery_speed) {
    const double ratio = to_seconds(min_hold_time) / to_seconds(max_hold_time);
    const double factor = std::pow(ratio, recovery_speed);
    hold_time_ = duration(static_cast<duration::rep>(max_hold_time.count() * factor));
}

void downstream_levels::record(time_point now, call_origin side, const service_name& service,
                               const kind_threshold& level) {
    auto& levels = side == call_origin::entry_caller ? entry_caller_levels_ : local_target_levels_;
    levels[level.kind][service] = {level.threshold, now};
}

std::uint32_t downstream_levels::effective_threshold(time_point now,
                                                     const reported_level& level) const {
    const auto age = now - level.at;
    if (age <= hold_time_) {
        return level.threshold;
    }
    const double doublings = to_seconds(age - hold_time_) / to_seconds(hold_time_ / 2);
    const double rise = initial_rise * std::exp2(doublings);
    return static_cast<std::uint32_t>(std::min<double>(level.threshold + rise, admit_all));
}

std::uint32_t downstream_levels::entry_threshold(time_point now, const service_name& service,
                                                 const std::string& kind) const {
    const auto levels = entry_caller_levels_.find(kind);
    if (levels == entry_caller_levels_.end()) {
        return admit_all;
    }
    const auto found = levels->second.find(service);
    return found == levels->second.end() ? admit_all : effective_threshold(now, found->second);
}

std::uint32_t downstream_levels::lowest_threshold(time_point now, const std::string& kind) const {
    std::uint32_t lowest = admit_all;
    const auto levels = local_target_levels_.find(kind);
    if (levels != local_target_levels_.end()) {
        for (const auto& entry : levels->second) {
            lowest = std::min(lowest, effective_threshold(now, entry.second));
        }
    }
    return lowest;
}

void level_reports::called(incarnation_id peer, const std::string& kind, std::uint32_t priority) {
    peers_[peer].kinds[kind].priority = priority;
}

bool level_reports::is_due(time_point now, incarnation_id peer) const {
    const auto found = peers_.find(peer);
    return found != peers_.end() && now >= found->second.next_report_at;
}

std::uint32_t level_reports::relevant_threshold(std::uint32_t priority, std::uint32_t threshold) {
    return threshold >= (priority + 1) * positions_per_priority ? admit_all : threshold;
}

} // namespace trefoil
