// Holds back requests whose calls would be refused further down.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>

#include <trefoil/base/time.hpp>

namespace trefoil {

/// What the calls of one run showed of the services below.
enum class room_below : std::uint8_t {
    clear,
    /// A call was answered where requests of its priority had been waiting for long.
    busy,
    /// A call was refused for want of room.
    refused,
};

/// For each kind of run at one target, the shares of whole requests that are admitted. Answers a
/// deep service that is short of room: if each of a request's calls were refused at random, hardly
/// any whole request would finish. The level falls in proportion to the runs that had a call
/// refused and rises while none has (additive increase, multiplicative decrease), faster the
/// longer, so that service is normal soon after a shortage. Calls that were answered where others
/// had to wait lower it a little, before any is refused, as marks of congestion do (RFC 3168; their
/// share counts, as in DCTCP, Alizadeh et al. 2010): calls go ahead of callers' own requests there,
/// which would be served last of all.
///
/// Time counts and not the number of runs, so that many nodes with few runs each do together what
/// one node with all of them would do. As all nodes order requests by the same shares, those
/// admitted here are those that find room below.
class downstream_level {
public:
    /// A run of the route for a whole request of this priority has shown what is below: at its end,
    /// or as soon as a call is refused.
    void note(time_point now, const std::string& route, std::uint32_t priority, room_below seen);

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
    /// The same for busy runs, for each window.
    static constexpr double busy_fall = 0.03;
    static constexpr double lowest = 0.05;
    /// Runs in a window below which its refusals say little.
    static constexpr double least_runs = 3;
    /// Windows without a run after which the level rises, since nothing is known any more.
    static constexpr std::int64_t longest_silence = 10;

    struct state {
        double level = 1;
        time_point window_began;
        std::uint32_t clear = 0;
        std::uint32_t busy = 0;
        std::uint32_t refused = 0;
        /// Windows since the last in which a run showed anything.
        std::int64_t silent_windows = 0;
        /// Windows in which all was clear, since the last in which it was not.
        std::int64_t clear_windows = 0;
    };

    state& present(time_point now, const std::string& route, std::uint32_t priority);
    static void close_window(state& at);
    /// Windows pass in which no run shows anything.
    static void rest(state& at, std::int64_t windows);
    static void rise_for(state& at, std::int64_t windows);

    std::map<key, state> states_;
};

} // namespace trefoil
