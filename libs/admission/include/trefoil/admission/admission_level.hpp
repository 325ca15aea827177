// The threshold over admission positions that a node sets under pressure.
#pragma once

#include <array>
#include <cstdint>

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

/// Sets the threshold from what is offered and what the target finishes, once in each window of
/// 100 ms. There is pressure if all through a window the queue would have taken longer than 20 ms
/// to run off; judging by the least of a window is that of CoDel (Nichols and Jacobson 2012). Then
/// the threshold is put where the positions below it, as counted lately, are offered as fast as
/// the target finishes calls; counting by position is that of DAGOR (Zhou et al. 2018). Without
/// pressure and with slots idle it rises in proportion to the idle share.
class admission_level {
public:
    /// `recovery_speed` is between 0 and 1, see admission_settings.
    explicit admission_level(double recovery_speed) : recovery_speed_(recovery_speed) {}

    /// Counts a call that was offered, whatever becomes of it.
    void offered(std::uint32_t position);

    /// Counts a call that the target finished.
    void finished() { ++window_.finished; }

    /// Notes the state that holds from now on. Called at each change.
    void update(time_point now, const admission_state& state);

    /// Calls at or above this position are refused.
    std::uint32_t threshold() const { return threshold_; }

private:
    static constexpr std::uint32_t bucket_width = 8;
    static constexpr std::size_t bucket_count = admit_all / bucket_width;
    using histogram = std::array<float, bucket_count>;

    struct window {
        time_point since;
        std::uint32_t finished = 0;
        std::uint32_t least_queued = 0;
        /// Integral of the used share of the limit, in microseconds.
        double used_time = 0;
    };

    void add_time(time_point until);
    void close_window(time_point end);
    void lower(double calls_to_shed);
    void raise(double used);

    double recovery_speed_;
    std::uint32_t threshold_ = admit_all;
    admission_state state_;
    time_point updated_at_;
    window window_;
    /// Calls offered in the present window, and the running mean a window.
    histogram offered_now_{};
    histogram offered_{};
    double finished_mean_ = 0;
};

} // namespace trefoil
