#include <doctest/doctest.h>

#include <trefoil/once/key_mint.hpp>

using namespace trefoil;

namespace {

const endpoint owner{"127.0.0.1", 7001};
const time_point issued{5s};

http_request payment() {
    http_request request;
    request.method = "POST";
    request.path = "/pay";
    request.service = service_name("booking");
    request.body = "12 EUR";
    request.caller = "adviser";
    return request;
}

} // namespace

TEST_CASE("a key survives its way through a header") {
    key_mint mint("secret", owner, {17});
    const auto key = mint.issue(issued, payment());
    const auto read = parse_idempotency_key(to_string(key));
    REQUIRE(read);
    CHECK(*read == key);
    CHECK(mint.verify(*read, payment()));
    const endpoint v6{"::1", 7001};
    const auto other = key_mint("secret", v6, {17}).issue(issued, payment());
    CHECK(parse_idempotency_key(to_string(other)) == other);
}

TEST_CASE("other texts are no keys") {
    const auto good = to_string(key_mint("secret", owner, {17}).issue(issued, payment()));
    for (const auto& text :
         {std::string(), std::string("0b6a9f4e-52cf"), good.substr(0, good.size() - 1), good + "0",
          "x" + good, std::string("tk1_127.0.0.1:1_1_1_1_"), std::string(300, 'a')}) {
        CHECK_FALSE(parse_idempotency_key(text));
    }
}

TEST_CASE("a key is refused for another caller, request, number, run or secret") {
    key_mint mint("secret", owner, {17});
    const auto key = mint.issue(issued, payment());
    auto other_caller = payment();
    other_caller.caller = "somebody";
    CHECK_FALSE(mint.verify(key, other_caller));
    auto other_body = payment();
    other_body.body = "13 EUR";
    CHECK_FALSE(mint.verify(key, other_body));
    auto moved_byte = payment();
    moved_byte.path = "/pay1";
    moved_byte.body = "2 EUR";
    CHECK_FALSE(mint.verify(key, moved_byte));
    auto guessed = key;
    ++guessed.number;
    CHECK_FALSE(mint.verify(guessed, payment()));
    auto younger = key;
    younger.issued += 1s;
    CHECK_FALSE(mint.verify(younger, payment()));
    CHECK_FALSE(key_mint("secret", owner, {18}).verify(key, payment()));
    CHECK_FALSE(key_mint("guess", owner, {17}).verify(key, payment()));
    CHECK(mint.issue(issued, payment()) != key);
}
