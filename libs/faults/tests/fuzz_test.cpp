#include <doctest/doctest.h>

#include <trefoil/faults/fuzz.hpp>

using namespace trefoil;

TEST_CASE("no fixed seed finds a violation") {
    for (const std::uint64_t seed : {1, 2, 3}) {
        const auto failure = fuzz({seed, 60, 60, {}});
        if (failure) {
            FAIL_CHECK("seed " << seed << ", " << to_string(*failure));
        }
    }
}
