#include <doctest/doctest.h>

#include <trefoil/once/idempotency_key_issuer.hpp>

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

TEST_CASE("a key is unchanged on its way through a header") {
    idempotency_key_issuer issuer("secret", owner, {17});
    const auto key = issuer.issue(issued, payment());
    const auto parsed = parse_idempotency_key(to_string(key));
    REQUIRE(parsed);
    CHECK(*parsed == key);
    CHECK(issuer.verify(*parsed, payment()));
    const endpoint v6{"::1", 7001};
    const auto other = idempotency_key_issuer("secret", v6, {17}).issue(issued, payment());
    CHECK(parse_idempotency_key(to_string(other)) == other);
}

TEST_CASE("other texts are not parsed as keys") {
    const auto valid_key =
        to_string(idempotency_key_issuer("secret", owner, {17}).issue(issued, payment()));
    for (const auto& text :
         {std::string(), std::string("0b6a9f4e-52cf"), valid_key.substr(0, valid_key.size() - 1),
          valid_key + "0", "x" + valid_key, std::string("tk1_127.0.0.1:1_1_1_1_"),
          std::string(300, 'a')}) {
        CHECK_FALSE(parse_idempotency_key(text));
    }
}

TEST_CASE("a key is refused for another caller, request, number, incarnation or secret") {
    idempotency_key_issuer issuer("secret", owner, {17});
    const auto key = issuer.issue(issued, payment());
    auto other_caller = payment();
    other_caller.caller = "somebody";
    CHECK_FALSE(issuer.verify(key, other_caller));
    auto other_body = payment();
    other_body.body = "13 EUR";
    CHECK_FALSE(issuer.verify(key, other_body));
    auto moved_byte = payment();
    moved_byte.path = "/pay1";
    moved_byte.body = "2 EUR";
    CHECK_FALSE(issuer.verify(key, moved_byte));
    auto guessed = key;
    ++guessed.number;
    CHECK_FALSE(issuer.verify(guessed, payment()));
    auto later = key;
    later.issued += 1s;
    CHECK_FALSE(issuer.verify(later, payment()));
    CHECK_FALSE(idempotency_key_issuer("secret", owner, {18}).verify(key, payment()));
    CHECK_FALSE(idempotency_key_issuer("guess", owner, {17}).verify(key, payment()));
    CHECK(issuer.issue(issued, payment()) != key);
}
