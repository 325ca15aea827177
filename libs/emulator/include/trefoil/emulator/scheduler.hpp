// Discrete-event scheduler with a virtual clock.
#pragma once

#include <functional>
#include <queue>
#include <vector>

#include <trefoil/base/time.hpp>

namespace trefoil {

/// Runs tasks in the order of their scheduled time. Tasks scheduled for the same time run in the
/// order in which they were scheduled. The clock advances only from one task to the next, so a
/// simulation is deterministic and independent of wall-clock time.
class scheduler {
public:
    using task = std::function<void()>;

    time_point now() const { return now_; }

    /// Schedules a task for an absolute time. A time in the past is replaced by now().
    void at(time_point when, task what) {
        tasks_.push({std::max(when, now_), next_sequence_++, std::move(what)});
    }

    /// Schedules a task to run after a delay.
    void after(duration delay, task what) { at(now_ + delay, std::move(what)); }

    /// Runs all tasks due up to and including `end`, then sets the clock to `end`.
    void run_until(time_point end) {
        while (!tasks_.empty() && tasks_.top().when <= end) {
            // priority_queue::top() is const, so the const_cast is needed to move the entry out. It
            // is popped before it runs because the task may schedule further tasks.
            auto next = std::move(const_cast<entry&>(tasks_.top()));
            tasks_.pop();
            now_ = next.when;
            next.what();
        }
        now_ = end;
    }

private:
    struct entry {
        time_point when;
        std::uint64_t sequence = 0;
        task what;

        bool operator<(const entry& other) const {
            return when != other.when ? when > other.when : sequence > other.sequence;
        }
    };

    time_point now_{};
    std::uint64_t next_sequence_ = 0;
    std::priority_queue<entry> tasks_;
};

} // namespace trefoil
