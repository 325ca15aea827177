// Tells peers that read slowly from silent ones.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>

#include <trefoil/base/time.hpp>

#include "tcp_state.hpp"

namespace trefoil::http1 {

/// Decides from the system's view of a connection with unacknowledged data whether its peer reads
/// slowly or is silent.
///
/// At first the system decides, by the TCP user timeout. It can't any more once the receive window
/// of the peer has limited the connection: Linux counts the timeout from the first probe of a
/// closed window. It goes on counting while the window opens by less than the first segment in its
/// queue, and may go on after all data was acknowledged, so that the next probe ends the connection
/// of a peer that has read all the while. From then on the timeout is extended past the earliest
/// time of that probe, and a peer is silent when it has acknowledged none of the data that is on
/// its way for as long as the default timeout, or nothing at all while a probe is unanswered.
class window_watch {
public:
    /// TCP user timeout of a connection that the peer's receive window has not limited.
    static constexpr std::chrono::milliseconds default_user_timeout{2500};
    /// The system probes a closed window at least this often: it sends the next probe before the
    /// end of the timeout that it knows of.
    static constexpr std::chrono::milliseconds probe_interval{1250};

    /// Data is unacknowledged from this time on. Called when none was before.
    void begin(time_point now);

    /// Looks at the connection. To be called several times within probe_interval, and at least once
    /// after each begin().
    void check(time_point now, const tcp_state& seen);

    /// True if the peer was silent at the last check.
    bool is_silent() const { return is_silent_; }
    /// True if the peer's receive window has limited the connection.
    bool is_limited() const { return limited_since_.has_value(); }
    /// Returns the TCP user timeout that the connection needs while data is unacknowledged.
    std::chrono::milliseconds user_timeout(time_point now) const;

private:
    /// True if data that is on its way has not been acknowledged for as long as a peer may take.
    bool has_silent_data(time_point now, const tcp_state& seen);
    /// True if probes have not been answered for as long as a peer may take.
    bool has_silent_probes(time_point now, const tcp_state& seen);

    time_point began_;
    /// The earliest time at which the window may have been closed.
    std::optional<time_point> limited_since_;
    std::uint64_t acknowledged_bytes_ = 0;
    /// Since when data has been on its way and none of it was acknowledged.
    std::optional<time_point> unacknowledged_since_;
    /// Time of the first of the checks in a row that found a probe unanswered.
    std::optional<time_point> unanswered_since_;
    bool is_silent_ = false;
};

} // namespace trefoil::http1
