// Limits requests whose calls would be refused by downstream services.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>

#include <trefoil/base/time.hpp>

namespace trefoil {

/// Congestion of downstream services as seen by the calls of one run (one execution of a request).
enum class downstream_congestion : std::uint8_t {
    /// No call saw a sign of congestion.
    clear,
    /// A call was answered by a node where requests of its priority had been queued for long.
    busy,
    /// A call was refused because of load.
    refused,
};

/// Admission level of one target for each route and priority: the fraction of request buckets that
/// is admitted. Protects against an overloaded service deep in the call graph: if each call of a
/// request were refused at random, hardly any whole request would finish.
///
/// The level decreases in proportion to the fraction of runs that had a call refused and increases
/// while no run has (additive increase, multiplicative decrease). The increase accelerates with
/// time, so that normal service resumes soon after an overload. Calls answered by a congested node
/// lower the level slightly before any call is refused, like congestion marks (RFC 3168); the
/// decrease is proportional to the fraction of marked runs, as in DCTCP (Alizadeh et al. 2010).
/// Without these marks, calls would starve the requests that callers send to that node directly,
/// because calls go ahead of them there.
///
/// Adjustments are made per time window and not per run, so that many nodes with few runs each
/// behave together like one node with all runs. All nodes order requests by the same buckets, so
/// the requests admitted here are those that downstream services admit.
class downstream_limiter {
public:
    /// Records the congestion seen by a run of the route for a whole request of this priority: when
    /// the run ends, or as soon as one of its calls is refused.
    void note(time_point now, const std::string& route, std::uint32_t priority,
              downstream_congestion seen);

    /// True if a request of this bucket is admitted.
    bool admits(time_point now, const std::string& route, std::uint32_t priority,
                std::uint32_t request_bucket);

    /// Returns the fraction of all request buckets that is admitted, from 0 to 1.
    double admitted_fraction(time_point now, const std::string& route, std::uint32_t priority);

private:
    using key = std::pair<std::string, std::uint32_t>;

    /// Interval at which the level is adjusted.
    static constexpr duration window = 100ms;
    /// Increase of the level for a window without congestion, before it accelerates.
    static constexpr double increase_step = 0.008;
    /// Windows without congestion after which the increase accelerates. A refusal may be seen only
    /// at a run's last calls, which is later than the run's start.
    static constexpr std::int64_t steady_windows = 10;
    /// Increase steps that each further window adds to those of the window before.
    static constexpr std::int64_t steps_per_window = 3;
    /// Relative decrease of the level if all runs of a window had a call refused.
    static constexpr double refusal_decrease = 0.5;
    /// Relative decrease of the level for each window if all its runs were busy.
    static constexpr double busy_decrease = 0.03;
    /// Lower bound of the level.
    static constexpr double min_level = 0.05;
    /// For the decrease after refusals, a window with fewer runs counts as if it had this many,
    /// since few runs are weak evidence.
    static constexpr double min_runs = 3;
    /// Windows without a run after which the level increases, since its evidence is outdated.
    static constexpr std::int64_t max_idle_windows = 10;

    struct state {
        double level = 1;
        time_point window_start;
        std::uint32_t clear = 0;
        std::uint32_t busy = 0;
        std::uint32_t refused = 0;
        /// Windows since the last one with a recorded run.
        std::int64_t idle_windows = 0;
        /// Windows without congestion since the last one with congestion.
        std::int64_t clear_windows = 0;
    };

    /// Returns the state after closing the windows that have passed.
    state& current(time_point now, const std::string& route, std::uint32_t priority);
    /// Adjusts the level by the runs of the current window and resets the counts.
    static void close_window(state& entry);
    /// Accounts for windows without a recorded run.
    static void skip_idle(state& entry, std::int64_t windows);
    /// Increases the level for windows without congestion.
    static void increase_for(state& entry, std::int64_t windows);

    std::map<key, state> states_;
};

} // namespace trefoil
