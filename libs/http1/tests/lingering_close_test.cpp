// The stages in which a connection is ended, and their limits.
#include <doctest/doctest.h>

#include "lingering_close.hpp"

using namespace trefoil;
using namespace trefoil::http1;

namespace {

using stage = lingering_close::stage;

time_point at(duration since_start) {
    return time_point(3600s) + since_start;
}

tcp_state acknowledged(std::uint64_t bytes) {
    tcp_state seen;
    seen.acknowledged_bytes = bytes;
    return seen;
}

tcp_state waiting(std::uint64_t acknowledged_bytes) {
    auto seen = acknowledged(acknowledged_bytes);
    seen.waiting_bytes = 1000;
    return seen;
}

} // namespace

TEST_CASE("a connection is kept until the peer has everything and has ended as well") {
    lingering_close ending(at(0s));
    CHECK(ending.current() == stage::writing);
    ending.on_shut_down(at(1s));
    CHECK(ending.current() == stage::delivering);
    ending.check(at(2s), waiting(500));
    CHECK(ending.current() == stage::delivering);
    ending.check(at(3s), acknowledged(1500));
    CHECK(ending.current() == stage::waiting_for_peer);
    ending.on_input(at(3500ms), 200);
    CHECK(ending.current() == stage::waiting_for_peer);
    ending.on_peer_end();
    CHECK(ending.current() == stage::over);
}

TEST_CASE("a peer that ends early still gets the whole write buffer") {
    lingering_close ending(at(0s));
    ending.on_peer_end();
    CHECK(ending.current() == stage::writing);
    ending.on_shut_down(at(1s));
    CHECK(ending.current() == stage::over);
}

TEST_CASE("the write buffer is given up when nothing is acknowledged for five seconds") {
    lingering_close ending(at(0s));
    for (int second = 1; second < 20; ++second) {
        ending.check(at(std::chrono::seconds(second)), waiting(static_cast<std::uint64_t>(second)));
        CHECK(ending.current() == stage::writing);
    }
    ending.check(at(23900ms), waiting(19));
    CHECK(ending.current() == stage::writing);
    ending.check(at(24s), waiting(19));
    CHECK(ending.current() == stage::over);
}

TEST_CASE("a peer gets 30 seconds for what the system holds") {
    lingering_close ending(at(0s));
    ending.on_shut_down(at(2s));
    for (int second = 3; second < 32; ++second) {
        ending.check(at(std::chrono::seconds(second)), waiting(7));
        CHECK(ending.current() == stage::delivering);
    }
    ending.check(at(32s), waiting(7));
    CHECK(ending.current() == stage::over);
}

TEST_CASE("a peer that has everything and sends nothing is waited for five seconds") {
    lingering_close ending(at(0s));
    ending.on_shut_down(at(0s));
    ending.check(at(1s), acknowledged(7));
    ending.on_input(at(3s), 10);
    ending.check(at(7900ms), acknowledged(7));
    CHECK(ending.current() == stage::waiting_for_peer);
    ending.check(at(8s), acknowledged(7));
    CHECK(ending.current() == stage::over);
}

TEST_CASE("a peer that never stops sending is not waited for longer than 30 seconds") {
    lingering_close ending(at(0s));
    ending.on_shut_down(at(0s));
    for (int second = 1; second < 30; ++second) {
        ending.check(at(std::chrono::seconds(second)), acknowledged(7));
        ending.on_input(at(std::chrono::seconds(second)), 10);
        CHECK(ending.current() == stage::waiting_for_peer);
    }
    ending.check(at(30s), acknowledged(7));
    CHECK(ending.current() == stage::over);
}

TEST_CASE("what is read and discarded is bounded") {
    lingering_limits limits;
    limits.max_discarded_bytes = 1000;
    lingering_close ending(at(0s), limits);
    ending.on_input(at(0s), 1000);
    CHECK(ending.current() == stage::writing);
    ending.on_input(at(0s), 1);
    CHECK(ending.current() == stage::over);
}
