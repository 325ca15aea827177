#include <doctest/doctest.h>

#include "target_announcement.hpp"

using namespace trefoil;

namespace {

header_field_names make_field_names() {
    header_field_names names;
    names.request_id = "id";
    names.rate_limit = "rate";
    names.leaving = "going";
    return names;
}

target_announcement after(const target_announcement& current,
                          const std::vector<http_header>& headers) {
    return updated_announcement(current, make_field_names(), headers);
}

} // namespace

TEST_CASE("a rate limit is a decimal number of at least 0") {
    CHECK(decode_rate_limit("42.5") == 42.5);
    CHECK(decode_rate_limit("0") == 0.0);
    for (const auto* text : {"", "-1", "nan", "inf", "1e3", "4 2", "42x", "0x10"}) {
        CAPTURE(text);
        CHECK_FALSE(decode_rate_limit(text).has_value());
    }
    CHECK_FALSE(decode_rate_limit(std::string(400, '9')).has_value());
}

TEST_CASE("a limit holds until an answer of the target lacks it") {
    const auto limited = after({}, {{"id", "1"}, {"rate", "20"}});
    CHECK(limited.rate_limit == 20.0);
    CHECK(after(limited, {{"id", "2"}, {"rate", "15.5"}}).rate_limit == 15.5);
    CHECK_FALSE(after(limited, {{"id", "2"}}).rate_limit.has_value());
    CHECK(after(limited, {{"id", "2"}, {"rate", "many"}}).rate_limit == 20.0);
    CHECK(after(limited, {{"other", "2"}}).rate_limit == 20.0);
}

TEST_CASE("a target that has announced that it leaves stays leaving") {
    const auto leaving = after({}, {{"id", "1"}, {"going", "1"}});
    CHECK(leaving.is_leaving);
    CHECK(after(leaving, {{"id", "2"}}).is_leaving);
    CHECK_FALSE(after({}, {{"id", "1"}, {"going", "0"}}).is_leaving);
}
