// Decides which share of requests leaves the own failure domain.
#pragma once

namespace trefoil {

/// Sends out the surplus over what the instances of the own failure domain can do in time. Answers
/// demand that swings between failure domains while crossing between them is dear: nothing crosses
/// while there is room at home, and the share that crosses rises with the lack of room, so that the
/// nodes of a failure domain together send out about the surplus and don't all turn at once. Begins
/// at a higher lack of room than it ends (hysteresis).
class domain_overflow {
public:
    /// Share of requests to send out, from 0 to 1. `pressure` is the least expected wait at an
    /// instance of the own failure domain, as a fraction of the request's target latency.
    double share(double pressure);

    /// Expected wait from which on requests begin to leave, and up to which an instance elsewhere
    /// has room, as a fraction of the target latency. It is small since a request may make many
    /// calls one after the other, each of which waits.
    static constexpr double begin_pressure = 0.02;
    /// Expected wait at which they end to leave.
    static constexpr double end_pressure = 0.01;
    /// Expected wait at which all leave that find room elsewhere.
    static constexpr double full_pressure = 0.04;

private:
    bool is_sending_ = false;
};

} // namespace trefoil
