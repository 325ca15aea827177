// What is concluded from the system's view of a connection, on a clock that the test advances.
#include <doctest/doctest.h>

#include "window_watch.hpp"

using namespace trefoil;
using namespace trefoil::http1;

namespace {

time_point at(duration since_start) {
    return time_point(3600s) + since_start;
}

/// A connection whose window is closed; the last probe was answered.
tcp_state closed_window(std::chrono::milliseconds since_acknowledgement) {
    tcp_state seen;
    seen.waiting_bytes = 1000;
    seen.since_acknowledgement = since_acknowledgement;
    seen.window_limited_time = 500ms;
    return seen;
}

tcp_state unanswered_probe(std::chrono::milliseconds since_acknowledgement) {
    auto seen = closed_window(since_acknowledgement);
    seen.unanswered_probes = 1;
    return seen;
}

tcp_state unacknowledged_segment(std::chrono::milliseconds since_acknowledgement,
                                 duration window_limited_time) {
    tcp_state seen;
    seen.unacknowledged_segments = 1;
    seen.since_acknowledgement = since_acknowledgement;
    seen.window_limited_time = window_limited_time;
    return seen;
}

} // namespace

TEST_CASE("a connection that its peer's window has not limited is left to the system") {
    window_watch watch;
    watch.begin(at(0s));
    for (auto elapsed = 1000ms; elapsed < 4000ms; elapsed += 250ms) {
        watch.check(at(elapsed), unacknowledged_segment(elapsed, 0s));
        CHECK_FALSE(watch.is_limited());
        CHECK_FALSE(watch.is_silent());
        CHECK(watch.user_timeout(at(elapsed)) == window_watch::default_user_timeout);
    }
}

TEST_CASE("the timeout covers the time since the window may have been closed first") {
    window_watch watch;
    watch.begin(at(0s));
    watch.check(at(1s), closed_window(100ms));
    CHECK(watch.is_limited());
    CHECK(watch.user_timeout(at(1s)) == 1000ms + window_watch::probe_interval);
    // The peer takes something: the system may go on counting all the same.
    watch.check(at(2s), unacknowledged_segment(10ms, 700ms));
    CHECK(watch.user_timeout(at(2s)) == 2000ms + window_watch::probe_interval);
    // So it may behind an answer that was acknowledged whole.
    watch.check(at(3s), {});
    watch.begin(at(60s));
    CHECK(watch.user_timeout(at(60s)) == 60'000ms + window_watch::probe_interval);
}

TEST_CASE("a window that was closed between two checks is known by the time it took") {
    window_watch watch;
    watch.begin(at(0s));
    tcp_state seen;
    seen.window_limited_time = 204ms;
    watch.check(at(1s), seen);
    CHECK(watch.is_limited());
}

TEST_CASE("a peer that answers probes of its closed window is not silent") {
    window_watch watch;
    watch.begin(at(0s));
    for (auto elapsed = 1000ms; elapsed < 20'000ms; elapsed += 250ms) {
        const auto since_probe = elapsed % window_watch::probe_interval;
        watch.check(at(elapsed), closed_window(since_probe));
        CHECK_FALSE(watch.is_silent());
    }
}

TEST_CASE("a peer that takes a little at a time is not silent") {
    window_watch watch;
    watch.begin(at(0s));
    for (auto elapsed = 1000ms; elapsed < 20'000ms; elapsed += 250ms) {
        auto seen = unacknowledged_segment(100ms, elapsed / 2);
        seen.acknowledged_bytes = static_cast<std::uint64_t>(elapsed / 2s);
        watch.check(at(elapsed), seen);
        CHECK_FALSE(watch.is_silent());
    }
}

TEST_CASE("an answer to a probe that came late after a long pause between probes is waited for") {
    window_watch watch;
    watch.begin(at(0s));
    watch.check(at(3s), closed_window(2900ms));
    CHECK_FALSE(watch.is_silent());
    watch.check(at(3250ms), unanswered_probe(3150ms));
    CHECK_FALSE(watch.is_silent());
    watch.check(at(3500ms), closed_window(100ms));
    CHECK_FALSE(watch.is_silent());
}

TEST_CASE("a peer that leaves the probes of its closed window unanswered is silent after 2.5 s") {
    window_watch watch;
    watch.begin(at(0s));
    watch.check(at(9s), closed_window(0ms));
    for (auto silence = 1250ms; silence < 2500ms; silence += 250ms) {
        watch.check(at(9s + silence), unanswered_probe(silence));
        CHECK_FALSE(watch.is_silent());
    }
    watch.check(at(11'500ms), unanswered_probe(2500ms));
    CHECK(watch.is_silent());
}

TEST_CASE("a peer that falls silent behind a window that has opened is known after 2.5 s") {
    window_watch watch;
    watch.begin(at(0s));
    watch.check(at(1s), closed_window(100ms));
    watch.check(at(1250ms), {});
    // The last acknowledgement is long ago, the data is not.
    watch.begin(at(60s));
    for (auto elapsed = 1000ms; elapsed < 2500ms; elapsed += 250ms) {
        watch.check(at(60s + elapsed), unacknowledged_segment(58'000ms + elapsed, 500ms));
        CHECK_FALSE(watch.is_silent());
    }
    watch.check(at(62'500ms), unacknowledged_segment(60'500ms, 500ms));
    CHECK(watch.is_silent());
}

TEST_CASE("a peer whose own data arrives is silent if it does not acknowledge ours") {
    window_watch watch;
    watch.begin(at(0s));
    watch.check(at(1s), closed_window(100ms));
    for (auto elapsed = 1250ms; elapsed < 3750ms; elapsed += 250ms) {
        watch.check(at(elapsed), unacknowledged_segment(50ms, 500ms));
        CHECK_FALSE(watch.is_silent());
    }
    watch.check(at(3750ms), unacknowledged_segment(50ms, 500ms));
    CHECK(watch.is_silent());
}

TEST_CASE("a peer is not silent because the process stood still") {
    window_watch watch;
    watch.begin(at(0s));
    watch.check(at(1s), closed_window(100ms));
    watch.check(at(9s), unanswered_probe(2600ms));
    CHECK_FALSE(watch.is_silent());
    watch.check(at(9250ms), closed_window(10ms));
    CHECK_FALSE(watch.is_silent());
}
