// A paused clock: time passes only from one scheduled task to the next.
#pragma once

#include <functional>
#include <queue>
#include <vector>

#include <trefoil/base/time.hpp>

namespace trefoil {

/// Runs tasks in the order of their time, and those of the same time in the order in which they
/// were scheduled.
class scheduler {
public:
    using task = std::function<void()>;

    time_point now() const { return now_; }

    void at(time_point when, task what) {
        tasks_.push({std::max(when, now_), next_sequence_++, std::move(what)});
    }

    void after(duration delay, task what) { at(now_ + delay, std::move(what)); }

    /// Runs everything that is due up to and including `end`, then stands at `end`.
    void run_until(time_point end) {
        while (!tasks_.empty() && tasks_.top().when <= end) {
            // The queue gives its top as const; the entry is taken out before it runs.
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
