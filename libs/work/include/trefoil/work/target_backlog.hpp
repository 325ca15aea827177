// The work that waits and runs at one target.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <unordered_map>

#include <trefoil/base/ids.hpp>
#include <trefoil/base/time.hpp>
#include <trefoil/wire/call_context.hpp>
#include <trefoil/work/service_time_shape.hpp>
#include <trefoil/work/work_estimator.hpp>

namespace trefoil {

/// Keeps account of the calls of one target and of how long they are still expected to run, in the
/// target's own time, so that its speed is included. Answers the load of calls that look alike and
/// differ much in work. A call that was queued before the first answer of the target is expected to
/// run as long again as it has run. Calls that are not known are ignored.
class target_backlog {
public:
    /// A call of the route was queued.
    void wait(time_point now, call_id call, const std::string& route);
    /// A queued call was dispatched.
    void start(time_point now, call_id call);
    /// A queued or running call has ended without a sample of the service time.
    void remove(call_id call);
    /// A running call was answered after this service time.
    void finish(time_point now, call_id call, duration took);

    /// Work of the calls that wait.
    duration waiting() const;
    /// Remaining work of the calls that run, given how long each has run.
    duration running(time_point now) const;
    /// Remaining work of all calls.
    duration total(time_point now) const { return waiting() + running(now); }

    /// Expected time until the first of the running calls ends; 0 if none runs.
    duration first_end(time_point now) const;

    /// Service time that half of the calls of the route don't exceed. 0 if the route has had no
    /// answer for a second, so that a route whose calls are all refused is tried again.
    duration median(time_point now, const std::string& route) const;

    const work_estimator& estimator() const { return estimator_; }

private:
    struct tracked {
        std::string route;
        double work_us = 0;
        std::optional<time_point> started;
    };

    /// Takes the call's work out of the work that waits.
    void leave_queue(const tracked& call);
    double remaining_us(time_point now, const tracked& call) const;

    std::unordered_map<call_id, tracked> calls_;
    double waiting_us_ = 0;
    std::size_t waiting_count_ = 0;
    work_estimator estimator_;
    service_time_shape shape_;
};

} // namespace trefoil
