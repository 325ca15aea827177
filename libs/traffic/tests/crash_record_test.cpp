#include <doctest/doctest.h>

#include <trefoil/traffic/crash_record.hpp>

using namespace trefoil;

TEST_CASE("a request that was running at three crashes is blocked until it expires") {
    crash_record record;
    const auto fingerprint = request_fingerprint_of("GET", "/x", "s", "");
    const time_point now(1000s);
    record.record_crash(now, fingerprint, 1);
    record.record_crash(now, fingerprint, 1);
    record.record_crash(now, fingerprint, 2);
    CHECK_FALSE(record.is_blocked(now, fingerprint));
    record.record_crash(now, fingerprint, 3);
    CHECK(record.is_blocked(now, fingerprint));
    CHECK_FALSE(record.is_blocked(now + crash_record::lifetime + 1s, fingerprint));
}

TEST_CASE("a request that completes is cleared") {
    crash_record record;
    const auto fingerprint = request_fingerprint_of("GET", "/x", "s", "");
    const time_point now(1000s);
    record.record_crash(now, fingerprint, 1);
    record.record_crash(now, fingerprint, 2);
    record.completed(fingerprint);
    record.record_crash(now, fingerprint, 3);
    CHECK_FALSE(record.is_blocked(now, fingerprint));
}

TEST_CASE("requests that differ in caller, path or body have different fingerprints") {
    const auto fingerprint = request_fingerprint_of("POST", "/x", "s", "b");
    CHECK(fingerprint == request_fingerprint_of("POST", "/x", "s", "b"));
    CHECK(fingerprint != request_fingerprint_of("POST", "/y", "s", "b"));
    CHECK(fingerprint != request_fingerprint_of("POST", "/x", "t", "b"));
    CHECK(fingerprint != request_fingerprint_of("POST", "/x", "s", "c"));
}

TEST_CASE("the number of recorded requests is bounded") {
    crash_record record;
    for (std::uint64_t i = 0; i < 2 * crash_record::max_entries; ++i) {
        record.record_crash(time_point(1000s), i, 1);
    }
    CHECK(record.size() == crash_record::max_entries);
}
