// When a stopping node exits.
#include <doctest/doctest.h>

#include "stop_step.hpp"

using namespace trefoil;

namespace {

stop_progress idle_after(duration since_signal) {
    stop_progress progress;
    progress.since_signal = since_signal;
    progress.since_last_request = 1s;
    progress.stop_timeout = 6s;
    return progress;
}

} // namespace

TEST_CASE("a stopping node that owes nothing exits when callers have had time to leave") {
    CHECK(next_stop_step(idle_after(2400ms)) == stop_step::wait);
    CHECK(next_stop_step(idle_after(2500ms)) == stop_step::exit);
    auto busy = idle_after(3s);
    busy.since_last_request = 300ms;
    CHECK(next_stop_step(busy) == stop_step::wait);
}

TEST_CASE("a stopping node waits for requests without an answer, until its limit") {
    auto progress = idle_after(5600ms);
    progress.pending = 1;
    CHECK(next_stop_step(progress) == stop_step::wait);
    progress.since_signal = 5700ms;
    CHECK(next_stop_step(progress) == stop_step::exit_at_limit);
}

// Guards against: a stopping node exits while callers still read complete answers, and cuts them
// (review/9).
TEST_CASE("a stopping node waits until its answers are taken, until its limit") {
    auto progress = idle_after(5600ms);
    progress.has_unread_answers = true;
    CHECK(next_stop_step(progress) == stop_step::wait);
    progress.since_signal = 5700ms;
    CHECK(next_stop_step(progress) == stop_step::exit_at_limit);
}
