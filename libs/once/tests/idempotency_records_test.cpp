#include <doctest/doctest.h>

#include <trefoil/once/idempotency_records.hpp>

using namespace trefoil;

namespace {

recorded_result completed_with_answer(std::size_t bytes) {
    answer_info info;
    info.result = outcome::completed;
    return {std::make_shared<const http_answer>(http_answer{200, {}, std::string(bytes, 'x')}),
            info};
}

} // namespace

TEST_CASE("the record of a completed request is kept for its lifetime") {
    idempotency_records<std::uint64_t> records({10s, 100, 1000});
    records.begin(1);
    CHECK(records.contains(1));
    CHECK(records.result_of(1) == nullptr);
    records.complete(time_point(5s), 1, completed_with_answer(3));
    CHECK(records.evict(time_point(14s)).empty());
    REQUIRE(records.result_of(1) != nullptr);
    CHECK(records.result_of(1)->answer->body == "xxx");
    CHECK(records.evict(time_point(15s)) == std::vector<std::uint64_t>{1});
    CHECK_FALSE(records.contains(1));
    CHECK(records.answer_bytes() == 0);
}

TEST_CASE("the oldest answers are dropped first, and their records stay") {
    idempotency_records<std::uint64_t> records({10s, 100, 1000});
    for (std::uint64_t key = 1; key <= 3; ++key) {
        records.begin(key);
        records.complete(time_point(1s), key, completed_with_answer(400));
    }
    CHECK(records.evict(time_point(1s)).empty());
    CHECK(records.answer_bytes() == 800);
    REQUIRE(records.result_of(1) != nullptr);
    CHECK(records.result_of(1)->answer == nullptr);
    CHECK(records.result_of(1)->info.result == outcome::unknown);
    CHECK(records.result_of(2)->answer != nullptr);
}

TEST_CASE("records are bounded, and one that still runs is never evicted") {
    idempotency_records<std::uint64_t> records({10s, 2, 1000});
    for (std::uint64_t key = 1; key <= 4; ++key) {
        records.begin(key);
    }
    CHECK(records.evict(time_point(100s)).empty());
    records.complete(time_point(100s), 3, completed_with_answer(1));
    records.complete(time_point(100s), 1, completed_with_answer(1));
    CHECK(records.evict(time_point(100s)) == std::vector<std::uint64_t>{3, 1});
    CHECK(records.contains(2));
    CHECK(records.contains(4));
    CHECK(records.answer_bytes() == 0);
}
