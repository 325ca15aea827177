#include <doctest/doctest.h>

#include <trefoil/retry/retry_ledger.hpp>

using namespace trefoil;

namespace {

constexpr call_id parent{7};

} // namespace

TEST_CASE("tokens are moved or lost, never created") {
    for (const auto policy :
         {token_share_policy::all, token_share_policy::all_but_one, token_share_policy::half,
          token_share_policy::quarter, token_share_policy::by_fan_out}) {
        retry_ledger ledger(policy);
        ledger.open(parent, 5);
        const auto first = ledger.allocate(parent);
        const auto second = ledger.allocate(parent);
        ledger.refund(parent, second);
        std::uint32_t spent = 0;
        while (ledger.spend(parent)) {
            ++spent;
        }
        CHECK(first + spent == 5);
        CHECK(ledger.close(parent) == 0);
        ledger.refund(parent, first);
        CHECK(ledger.allocate(parent) == 0);
        CHECK_FALSE(ledger.spend(parent));
    }
}

TEST_CASE("an equal call after one that failed is a retry") {
    retry_ledger ledger(token_share_policy::half);
    ledger.open(parent, 1);
    CHECK(ledger.begin_call(parent, 1) == call_repetition::first);
    ledger.end_call(parent, 1, call_result::not_run);
    CHECK(ledger.begin_call(parent, 2) == call_repetition::first);
    CHECK(ledger.begin_call(parent, 1) == call_repetition::retry);
    ledger.end_call(parent, 1, call_result::failed);
    CHECK(ledger.begin_call(parent, 1) == call_repetition::retry_of_possible_run);
    ledger.end_call(parent, 1, call_result::answered);
    CHECK(ledger.begin_call(parent, 1) == call_repetition::first);
    CHECK(ledger.begin_call(parent, 2) == call_repetition::retry_of_possible_run);
}

TEST_CASE("a retired account keeps its calls on record for a time and has no tokens") {
    retry_ledger ledger(token_share_policy::half);
    ledger.open(parent, 3);
    ledger.begin_call(parent, 1);
    ledger.end_call(parent, 1, call_result::failed);
    CHECK(ledger.retire(time_point(1s), parent) == 3);
    CHECK(ledger.begin_call(parent, 1) == call_repetition::retry_of_possible_run);
    CHECK_FALSE(ledger.spend(parent));
    ledger.expire(time_point(2s));
    CHECK(ledger.is_open(parent));
    ledger.expire(time_point(60s));
    CHECK_FALSE(ledger.is_open(parent));
}

TEST_CASE("the number of retired accounts is bounded") {
    retry_ledger ledger(token_share_policy::half);
    for (std::uint64_t i = 1; i <= 10'000; ++i) {
        ledger.open({i}, 1);
        ledger.retire(time_point(1s), {i});
        ledger.expire(time_point(1s));
    }
    CHECK(ledger.size() <= 4096);
}

TEST_CASE("calls are equal by service, method, path and body") {
    const http_request call{"GET", "/a", service_name("s"), {}, "b", "", ""};
    auto other = call;
    other.headers.push_back({"x", "y"});
    CHECK(call_fingerprint(call) == call_fingerprint(other));
    other.body = "c";
    CHECK(call_fingerprint(call) != call_fingerprint(other));
    other = call;
    other.method = "POST";
    CHECK(call_fingerprint(call) != call_fingerprint(other));
    other = call;
    other.path = "/b";
    CHECK(call_fingerprint(call) != call_fingerprint(other));
    other = call;
    other.service = service_name("t");
    CHECK(call_fingerprint(call) != call_fingerprint(other));
}
