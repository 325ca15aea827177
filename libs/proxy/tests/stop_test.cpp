// What callers still get from a node that stops.
#include <doctest/doctest.h>

#include <csignal>
#include <string>

#include <trefoil/http1/loop_timer.hpp>

#include "plain_peer.hpp"
#include "scripted_site.hpp"

using namespace trefoil;

namespace {

constexpr std::size_t answer_bytes = 36'000;
constexpr http1::receive_limits smallest_device{4096, 1400};
/// Longer than a node that owes nothing takes to stop, shorter than its limit.
constexpr duration reading_time = 4s;
constexpr duration reading_interval = 10ms;

} // namespace

// Guards against: a stopping node exits while a caller still reads a complete answer, and cuts it
// (review/9).
TEST_CASE("a stopping node does not exit before its callers have taken their answers") {
    scripted_site scripted;
    auto& site = scripted.site;
    scripted.answer_rest =
        fmt::format("content-length: {}\r\n\r\n", answer_bytes) + std::string(answer_bytes, 'x');
    // The signal below is for one node only.
    site.nodes[1].reset();
    http1::plain_peer caller(
        http1::plain_peer::connect_to({site.ip(0), site.caller_port}, smallest_device));
    caller.write("GET /read/1 HTTP/1.1\r\nhost: h\r\nid: a\r\n\r\n");
    const auto is_answered = [&] {
        caller.read(1);
        return !caller.received().empty();
    };
    REQUIRE(site.run_until(is_answered));
    http1::loop_timer reading(&site.loop,
                              [&] { caller.read(answer_bytes * reading_interval / reading_time); });
    reading.start_repeating(reading_interval);
    std::raise(SIGTERM);
    site.nodes[0]->run();
    const auto end_of_head = caller.received().find("\r\n\r\n");
    REQUIRE(end_of_head != std::string::npos);
    // What the caller's machine has acknowledged is not lost any more.
    reading.stop();
    caller.read(answer_bytes);
    CHECK(caller.received().size() - end_of_head - 4 == answer_bytes);
}
