// Thresholds of services further down a call chain.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include <trefoil/admission/admission_position.hpp>
#include <trefoil/base/ids.hpp>
#include <trefoil/base/time.hpp>
#include <trefoil/wire/call_context.hpp>

namespace trefoil {

/// A call by a caller's first leg or by the own target, as levels are kept for it.
enum class call_side : std::uint8_t { first_leg, below };

/// Keeps what answers have said of the levels of services that this node calls. A level that is
/// not heard again rises by itself, so that a few requests probe whether the shortage is over.
class heard_levels {
public:
    /// `recovery_speed` is between 0 and 1, see admission_settings.
    explicit heard_levels(double recovery_speed);

    /// Takes in what an answer of the service said.
    void hear(time_point now, call_side side, const service_name& service, const kind_level& level);

    /// The threshold for first legs of the kind at the service.
    std::uint32_t first_leg_threshold(time_point now, const service_name& service,
                                      const std::string& kind) const;

    /// The lowest threshold for the kind among the services that the own target calls for it.
    std::uint32_t threshold_below(time_point now, const std::string& kind) const;

private:
    struct heard_level {
        std::uint32_t threshold = 0;
        time_point at;
    };
    using levels_by_service = std::map<service_name, heard_level>;

    std::uint32_t risen(time_point now, const heard_level& level) const;

    duration hold_{0};
    std::unordered_map<std::string, levels_by_service> first_leg_;
    std::unordered_map<std::string, levels_by_service> below_;
};

/// Decides when a peer is told which levels: those that have changed and those in force, for the
/// kinds that it sends, at most every 250 ms.
class level_reports {
public:
    /// Notes that the peer sends requests of the kind.
    void called(incarnation_id peer, const std::string& kind, std::uint32_t priority);

    /// True if the peer may be told something now.
    bool is_due(time_point now, incarnation_id peer) const;

    /// What to tell the peer now. `threshold_of` gives the threshold at and below this node for a
    /// kind.
    template <class ThresholdOf>
    std::vector<kind_level> report(time_point now, incarnation_id peer, ThresholdOf threshold_of) {
        std::vector<kind_level> told;
        auto& entry = peers_[peer];
        for (auto& [kind, state] : entry.kinds) {
            const auto threshold = without_need(state.priority, threshold_of(kind));
            if (threshold != state.told || threshold < admit_all) {
                told.push_back({kind, threshold});
                state.told = threshold;
            }
            if (told.size() == max_levels) {
                break;
            }
        }
        entry.next_at = now + (told.empty() ? check_interval : report_interval);
        return told;
    }

private:
    /// Most levels in one answer.
    static constexpr std::size_t max_levels = 24;
    static constexpr duration report_interval = 250ms;
    /// Time between two looks for something to report.
    static constexpr duration check_interval = 20ms;

    struct kind_state {
        std::uint32_t priority = 0;
        std::uint32_t told = admit_all;
    };
    struct peer_state {
        std::map<std::string, kind_state> kinds;
        /// Earliest time of the next report.
        time_point next_at;
    };

    /// The threshold, or admit_all if it is above all requests of the priority.
    static std::uint32_t without_need(std::uint32_t priority, std::uint32_t threshold);

    std::unordered_map<incarnation_id, peer_state> peers_;
};

} // namespace trefoil
