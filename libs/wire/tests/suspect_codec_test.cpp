#include <doctest/doctest.h>

#include <trefoil/base/error.hpp>
#include <trefoil/wire/codec.hpp>

using namespace trefoil;

TEST_CASE("a suspect notice and the context of a suspect call are decoded as encoded") {
    const suspect_notice notice{{1, ~0ULL}, suspicion::convicted, 60s, 7};
    CHECK(decode_control(encode_control(notice)).value() == control_message(notice));
    call_context context;
    context.kind = "read";
    context.is_suspect = true;
    CHECK(decode_context(encode_context(context)).value() == context);
}

TEST_CASE("a notice of more requests than allowed is refused") {
    suspect_notice notice;
    notice.fingerprints.resize(max_suspects_in_notice + 1);
    CHECK(is_failure(decode_control(encode_control(notice)).status(), wire_failure::out_of_range));
}
