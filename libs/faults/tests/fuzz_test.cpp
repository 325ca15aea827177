#include <doctest/doctest.h>

#include <trefoil/faults/fuzz.hpp>

using namespace trefoil;

TEST_CASE("trials with fixed seeds violate no invariant") {
    for (const std::uint64_t seed : {1, 2, 3}) {
        const auto failure = fuzz({seed, 60, 60, {}});
        if (failure) {
            FAIL_CHECK("seed " << seed << ", " << to_string(*failure));
        }
    }
}

// Regression test: an instance is stopped twice within the lifetime of an announcement. Nodes
// forwarded the announcements of both runs endlessly, because each was taken as newer than the
// other, and their number grew.
TEST_CASE("seeds that caused endless forwarding of announcements find no violation") {
    for (const std::uint64_t seed : {880039, 880183, 880193}) {
        const auto failure = fuzz({seed, 100, 80, {}});
        if (failure) {
            FAIL_CHECK("seed " << seed << ", " << to_string(*failure));
        }
    }
}

TEST_CASE("stopping a paused node doesn't abort a request that it has not read yet") {
    const std::vector<command> commands = {{command_type::pause, 1, 0},
                                           {command_type::stop, 1, 0},
                                           {command_type::submit, 1, 0},
                                           {command_type::advance, 2, 0}};
    CHECK(replay(1, commands).empty());
}

TEST_CASE("a service recovers after all its instances were stopped and restarted") {
    const std::vector<command> commands = {{command_type::stop, 2, 0}, {command_type::stop, 3, 0}};
    CHECK(replay(1, commands).empty());
}

TEST_CASE("an instance that was listed as leaving and is listed as live again gets work again") {
    const std::vector<command> commands = {{command_type::cut, 2, 3},
                                           {command_type::advance, 6, 0},
                                           {command_type::submit, 3, 0},
                                           {command_type::list_leaving, 0, 0},
                                           {command_type::list_leaving, 1, 0}};
    CHECK(replay(1, commands).empty());
}

// Regression test: the response to a request with a key is lost between nodes. The emulator did not
// enforce attempt timeouts, so the node that had forwarded the request waited forever.
TEST_CASE("a forwarded request with a key ends even if its response is lost") {
    const std::vector<command> commands = {
        {command_type::pause, 0, 0},    {command_type::submit, 23, 5},
        {command_type::advance, 25, 0}, {command_type::resend, 0, 19},
        {command_type::advance, 14, 0}, {command_type::advance, 12, 0},
        {command_type::advance, 22, 0}, {command_type::cut, 1, 0},
        {command_type::advance, 27, 0}, {command_type::advance, 30, 0},
        {command_type::advance, 23, 0}};
    CHECK(replay(2367856302702, commands).empty());
}
