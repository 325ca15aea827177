// Holds back requests whose calls would be refused further down.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>

#include <trefoil/base/time.hpp>

namespace trefoil {

/// For each kind of run at one target, the shares of whole requests that are admitted. Answers a
/// deep service that is short of room: if each of a request's calls were refused at random, hardly
/// any whole request would finish. The level falls in proportion to the runs that had a call
/// refused for want of room and rises while none has (additive increase, multiplicative decrease),
/// faster the longer, so that service is normal soon after a shortage. As all nodes order requests
/// by the same shares, those admitted here are those that find room below.
class downstream_level {
public:
    /// A run of the route begins, for a whole request of this priority.
    void began(time_point now, const std::string& route, std::uint32_t priority);

    /// The first call of a run was refused for want of room.
    void call_refused(time_point now, const std::string& route, std::uint32_t priority);

    /// True if a request of this share may run.
    bool admits(time_point now, const std::string& route, std::uint32_t priority,
                std::uint32_t share);

    /// The part of all shares that is admitted, from 0 to 1.
    double level(time_point now, const std::string& route, std::uint32_t priority);

private:
    using key = std::pair<std::string, std::uint32_t>;

    static constexpr duration window = 100ms;
    /// Added for a window without a refusal.
    static constexpr double rise = 0.008;
    /// Windows without a refusal after which each adds more than the one before. Refusals are heard
    /// of when a run's last calls are made, which is later than its begin.
    static constexpr std::int64_t patient_windows = 10;
    /// Steps that each window after those adds to the one before.
    static constexpr std::int64_t steps_per_window = 3;
    /// Part of the share of refused runs by which the level falls.
    static constexpr double fall = 0.5;
    static constexpr double lowest = 0.05;
    /// Runs in a window below which its refusals say little.
    static constexpr double least_runs = 3;

    struct state {
        double level = 1;
        time_point window_began;
        std::uint32_t began = 0;
        std::uint32_t refused = 0;
        /// Windows since the last with a refusal.
        std::int64_t clean_windows = 0;
    };

    state& present(time_point now, const std::string& route, std::uint32_t priority);
    static void close_windows(state& at, std::int64_t count);

    std::map<key, state> states_;
};

} // namespace trefoil
