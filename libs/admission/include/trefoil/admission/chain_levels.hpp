// Exchange of admission thresholds (levels) along call chains.
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

/// Origin of an outgoing call: the first call of a whole request, at depth 0, or a call that the
/// local target makes. Levels are kept separately for each origin.
enum class call_origin : std::uint8_t { entry_caller, local_target };

/// Stores the thresholds that downstream services report in their answers, so that calls they would
/// refuse are refused here. A threshold that is not reported again rises over time, so that a few
/// requests probe whether the overload is over.
class downstream_levels {
public:
    /// `recovery_speed` is between 0 and 1, see admission_settings.
    explicit downstream_levels(double recovery_speed);

    /// Records a level that an answer of the service reported.
    void record(time_point now, call_origin side, const service_name& service,
                const kind_threshold& level);

    /// The threshold at the service for first calls of whole requests of the kind.
    std::uint32_t entry_threshold(time_point now, const service_name& service,
                                  const std::string& kind) const;

    /// The lowest threshold for the kind among the services that the local target calls for it.
    std::uint32_t lowest_threshold(time_point now, const std::string& kind) const;

private:
    struct reported_level {
        std::uint32_t threshold = 0;
        time_point at;
    };
    using levels_by_service = std::map<service_name, reported_level>;

    std::uint32_t effective_threshold(time_point now, const reported_level& level) const;

    duration hold_time_{0};
    std::unordered_map<std::string, levels_by_service> entry_caller_levels_;
    std::unordered_map<std::string, levels_by_service> local_target_levels_;
};

/// Selects the levels that answers report to each peer: those that have changed and those below
/// admit_all, for the kinds that the peer sends, at most every 250 ms.
class level_reports {
public:
    /// Records that the peer sends requests of the kind at this priority.
    void called(incarnation_id peer, const std::string& kind, std::uint32_t priority);

    /// True if a report to the peer may be due now.
    bool is_due(time_point now, incarnation_id peer) const;

    /// The levels to report to the peer now. `threshold_of` returns the lowest threshold for a kind
    /// at this node and at the services downstream of it.
    template <class ThresholdOf>
    std::vector<kind_threshold> report(time_point now, incarnation_id peer,
                                       ThresholdOf threshold_of) {
        std::vector<kind_threshold> reported;
        auto& entry = peers_[peer];
        for (auto& [kind, state] : entry.kinds) {
            const auto threshold = relevant_threshold(state.priority, threshold_of(kind));
            if (threshold != state.reported || threshold < admit_all) {
                reported.push_back({kind, threshold});
                state.reported = threshold;
            }
            if (reported.size() == max_levels) {
                break;
            }
        }
        entry.next_report_at = now + (reported.empty() ? check_interval : report_interval);
        return reported;
    }

private:
    /// Maximum number of levels in one answer.
    static constexpr std::size_t max_levels = 24;
    static constexpr duration report_interval = 250ms;
    /// Time until the next check if there was nothing to report.
    static constexpr duration check_interval = 20ms;

    struct kind_state {
        std::uint32_t priority = 0;
        /// The threshold last reported to the peer.
        std::uint32_t reported = admit_all;
    };
    struct peer_state {
        std::map<std::string, kind_state> kinds;
        /// Earliest time of the next report.
        time_point next_report_at;
    };

    /// The threshold, or admit_all if it admits all requests of the priority.
    static std::uint32_t relevant_threshold(std::uint32_t priority, std::uint32_t threshold);

    std::unordered_map<incarnation_id, peer_state> peers_;
};

} // namespace trefoil
