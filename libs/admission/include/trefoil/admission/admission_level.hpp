// Admission threshold over positions, set by a node under overload.
#pragma once

#include <array>
#include <cstdint>
#include <deque>

#include <trefoil/admission/admission_position.hpp>
#include <trefoil/base/time.hpp>

namespace trefoil {

/// State of the queue and the target at one point in time.
struct admission_state {
    std::uint32_t in_flight = 0;
    std::uint32_t queued = 0;
    std::uint32_t limit = 1;

    friend bool operator==(const admission_state&, const admission_state&) = default;
};

/// Computes the admission threshold from the offered load and the capacity of the target, once per
/// window of 100 ms. A window is under pressure if its shortest queue would take longer than 50 ms
/// to drain; the use of the minimum within a window follows CoDel (Nichols and Jacobson 2012).
/// Under pressure, the threshold is set so that the positions below it are offered at the rate at
/// which the target finishes calls, which is the limit divided by the mean service time. Counting
/// the offered load by position follows DAGOR (Zhou et al. 2018).
///
/// The offered load is counted by priority, since the positions within one priority are evenly
/// hashed. Upstream nodes refuse calls above the threshold, so the demand there is not visible: the
/// last estimate is kept and decays with a half-life, which trades goodput against recovery time.
class admission_level {
public:
    /// `recovery_speed` is between 0 and 1, see admission_settings.
    explicit admission_level(double recovery_speed);

    /// Counts an offered call, whether it is admitted or refused.
    void offered(std::uint32_t position);

    /// Counts a call that the target has finished, successfully or not.
    void finished(duration service_time);

    /// Records the state that holds from `now` on. Must be called at each change.
    void update(time_point now, const admission_state& state);

    /// Calls at or above this position are refused.
    std::uint32_t threshold() const { return threshold_; }

private:
    static constexpr std::size_t priorities = admit_all / positions_per_priority;
    using by_priority = std::array<double, priorities>;

    struct window {
        time_point since;
        /// Shortest length of the queue within the window.
        std::uint32_t min_queued = 0;
        std::uint32_t finished = 0;
        /// Sum over the finished calls, in microseconds.
        double service_time = 0;
        /// Integral over time of the share of the limit in use, in microseconds.
        double utilization_time = 0;
        /// Calls offered, and those among them below the settled threshold.
        by_priority offered{};
        by_priority offered_below{};
    };

    void add_time(time_point until);
    void close_window(time_point end);
    void estimate_demand(bool has_pressure);
    /// The threshold below which the estimated demand is `calls` per window.
    std::uint32_t threshold_for(double calls) const;
    void set_threshold(std::uint32_t threshold);
    /// Calls that the target can finish per window.
    double capacity() const;
    /// Share of a priority's positions that upstream nodes let through.
    double visible_share(std::size_t priority) const;
    bool is_limiting() const { return threshold_ < admit_all; }

    /// Factor per window by which the estimate of demand that is not visible decays.
    double demand_decay_;
    std::uint32_t threshold_ = admit_all;
    /// The lowest threshold of the last windows; upstream nodes let all calls below it through.
    std::uint32_t settled_threshold_ = admit_all;
    std::deque<std::uint32_t> recent_thresholds_;
    admission_state state_;
    time_point updated_at_;
    window window_;
    /// Estimated calls per window that would be offered if none were refused.
    by_priority demand_{};
    /// Mean time for which a call occupies the target, in microseconds; zero before the first call.
    double service_time_ = 0;
    int windows_under_pressure_ = 0;
};

} // namespace trefoil
