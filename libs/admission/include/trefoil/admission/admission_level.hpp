// The threshold over admission positions that a node sets under pressure.
#pragma once

#include <array>
#include <cstdint>
#include <deque>

#include <trefoil/admission/admission_position.hpp>
#include <trefoil/base/time.hpp>

namespace trefoil {

/// State of the queue and the target at one moment.
struct admission_state {
    std::uint32_t in_flight = 0;
    std::uint32_t queued = 0;
    std::uint32_t limit = 1;

    friend bool operator==(const admission_state&, const admission_state&) = default;
};

/// Sets the threshold from what is offered and what the target can finish, once in each window of
/// 100 ms. There is pressure if all through a window the queue would have taken longer than 50 ms
/// to run off; judging by the least of a window is that of CoDel (Nichols and Jacobson 2012).
/// Under pressure the threshold is put where the positions below it are offered as fast as the
/// target finishes calls, which is the limit divided by the mean service time. Counting what is
/// offered by position is that of DAGOR (Zhou et al. 2018).
///
/// What is offered is counted by priority, since the positions of one priority are hashed evenly.
/// Nodes upstream refuse what is above the threshold, so the demand there can't be seen: it is
/// remembered, and forgotten with a half-life that is the trade between goodput and recovery time.
class admission_level {
public:
    /// `recovery_speed` is between 0 and 1, see admission_settings.
    explicit admission_level(double recovery_speed);

    /// Counts a call that was offered, whatever becomes of it.
    void offered(std::uint32_t position);

    /// Counts a call that left the target, well or not.
    void finished(duration service_time);

    /// Notes the state that holds from now on. Called at each change.
    void update(time_point now, const admission_state& state);

    /// Calls at or above this position are refused.
    std::uint32_t threshold() const { return threshold_; }

private:
    static constexpr std::size_t priorities = admit_all / positions_per_priority;
    using by_priority = std::array<double, priorities>;

    struct window {
        time_point since;
        std::uint32_t least_queued = 0;
        std::uint32_t finished = 0;
        /// Sum over the finished calls, in microseconds.
        double service_time = 0;
        /// Integral of the used share of the limit, in microseconds.
        double used_time = 0;
        /// Calls offered, and those of them below the settled threshold.
        by_priority offered{};
        by_priority offered_below{};
    };

    void add_time(time_point until);
    void close_window(time_point end);
    void estimate_demand(bool has_pressure);
    std::uint32_t threshold_for(double calls) const;
    void set_threshold(std::uint32_t threshold);
    double capacity() const;
    double visible_share(std::size_t priority) const;
    bool is_limiting() const { return threshold_ < admit_all; }

    /// Factor on remembered demand for each window.
    double memory_;
    std::uint32_t threshold_ = admit_all;
    /// The lowest threshold of the last windows: nodes upstream let everything below it through.
    std::uint32_t settled_ = admit_all;
    std::deque<std::uint32_t> former_;
    admission_state state_;
    time_point updated_at_;
    window window_;
    /// Calls a window that would be offered if nothing were refused.
    by_priority demand_{};
    /// Mean time that a call occupies the target; zero before the first call.
    double service_time_ = 0;
    int windows_under_pressure_ = 0;
};

} // namespace trefoil
