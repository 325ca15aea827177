#include <doctest/doctest.h>

#include <trefoil/traffic/crash_record.hpp>

using namespace trefoil;

TEST_CASE("a request that was there at three deaths is blocked, for a time") {
    crash_record record;
    const auto print = print_of("GET", "/x", "s", "");
    const time_point now(1000s);
    record.died(now, print, 1);
    record.died(now, print, 1);
    record.died(now, print, 2);
    CHECK_FALSE(record.is_blocked(now, print));
    record.died(now, print, 3);
    CHECK(record.is_blocked(now, print));
    CHECK_FALSE(record.is_blocked(now + crash_record::lifetime + 1s, print));
}

TEST_CASE("a request that completes is cleared") {
    crash_record record;
    const auto print = print_of("GET", "/x", "s", "");
    const time_point now(1000s);
    record.died(now, print, 1);
    record.died(now, print, 2);
    record.completed(print);
    record.died(now, print, 3);
    CHECK_FALSE(record.is_blocked(now, print));
}

TEST_CASE("requests that differ in caller, path or body are told apart") {
    const auto print = print_of("POST", "/x", "s", "b");
    CHECK(print == print_of("POST", "/x", "s", "b"));
    CHECK(print != print_of("POST", "/y", "s", "b"));
    CHECK(print != print_of("POST", "/x", "t", "b"));
    CHECK(print != print_of("POST", "/x", "s", "c"));
}

TEST_CASE("the number of remembered requests is bounded") {
    crash_record record;
    for (std::uint64_t i = 0; i < 2 * crash_record::max_entries; ++i) {
        record.died(time_point(1000s), i, 1);
    }
    CHECK(record.size() == crash_record::max_entries);
}
