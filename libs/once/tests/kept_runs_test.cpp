#include <doctest/doctest.h>

#include <trefoil/once/kept_runs.hpp>

using namespace trefoil;

namespace {

kept_end answered(std::size_t bytes) {
    answer_info info;
    info.result = outcome::completed;
    return {std::make_shared<const http_answer>(http_answer{200, {}, std::string(bytes, 'x')}),
            info};
}

} // namespace

TEST_CASE("an ended run is kept for its lifetime") {
    kept_runs<std::uint64_t> runs({10s, 100, 1000});
    runs.begin(1);
    CHECK(runs.contains(1));
    CHECK(runs.end_of(1) == nullptr);
    runs.end(time_point(5s), 1, answered(3));
    CHECK(runs.trim(time_point(14s)).empty());
    REQUIRE(runs.end_of(1) != nullptr);
    CHECK(runs.end_of(1)->answer->body == "xxx");
    CHECK(runs.trim(time_point(15s)) == std::vector<std::uint64_t>{1});
    CHECK_FALSE(runs.contains(1));
    CHECK(runs.answer_bytes() == 0);
}

TEST_CASE("the oldest answers are given up first, and their runs stay known") {
    kept_runs<std::uint64_t> runs({10s, 100, 1000});
    for (std::uint64_t key = 1; key <= 3; ++key) {
        runs.begin(key);
        runs.end(time_point(1s), key, answered(400));
    }
    CHECK(runs.trim(time_point(1s)).empty());
    CHECK(runs.answer_bytes() == 800);
    REQUIRE(runs.end_of(1) != nullptr);
    CHECK(runs.end_of(1)->answer == nullptr);
    CHECK(runs.end_of(1)->info.result == outcome::unknown);
    CHECK(runs.end_of(2)->answer != nullptr);
}

TEST_CASE("records are bounded, and one that still runs is never forgotten") {
    kept_runs<std::uint64_t> runs({10s, 2, 1000});
    for (std::uint64_t key = 1; key <= 4; ++key) {
        runs.begin(key);
    }
    CHECK(runs.trim(time_point(100s)).empty());
    runs.end(time_point(100s), 3, answered(1));
    runs.end(time_point(100s), 1, answered(1));
    CHECK(runs.trim(time_point(100s)) == std::vector<std::uint64_t>{3, 1});
    CHECK(runs.contains(2));
    CHECK(runs.contains(4));
    CHECK(runs.answer_bytes() == 0);
}
