#include <doctest/doctest.h>

#include <sstream>

#include <trefoil/report/request_trace.hpp>

using namespace trefoil;

namespace {

const std::string caller_log =
    R"(2026-04-17T11:22:16.941Z 6001 call_refused id=a1 route=r1 service=front instance=- end=refused status=503 cause=chain_level tries=1 took_ms=2 limit_ms=1008 config=19
not a line of a log
2026-04-17T11:22:17.100Z 6002 call_failed id=b2 route=r1 service=front instance=i-1 end=target_error status=500 cause=- tries=1 took_ms=80 limit_ms=1500 config=19
2026-04-17T11:22:18.000Z 6002 call_failed id=c3 route=r2 service=front instance=- end=failed status=502 cause=connection_lost tries=1 took_ms=5 limit_ms=1500 config=19
2026-04-17T11:22:19.000Z 6004 call_served_late id=d4 route=r1 service=front instance=i-2 end=served_late status=200 cause=- tries=2 took_ms=1548 limit_ms=3000 config=19
)";

const std::string deep_log =
    R"(2026-04-17T11:22:16.500Z 6007 run_refused id=z9.1 route=r9 verdict="not_run overload 0 11" in_flight=18 queued=3 limit=18
2026-04-17T11:22:17.050Z 6001 call_refused id=b2.7.8 route=r9 service=deep instance=- end=refused status=503 cause=deadline tries=2 took_ms=20 limit_ms=700 config=19
2026-04-17T11:22:17.080Z 6002 call_failed id=b2.7 route=r8 service=middle instance=i-5 end=target_error status=500 cause=- tries=1 took_ms=60 limit_ms=900 config=19
2026-04-17T11:22:17.990Z 6008 run_failed id=c3 route=r2 verdict="unknown connection_lost 0 0" in_flight=1 queued=0 limit=18
)";

log_archive archive() {
    std::vector<log_line> lines;
    std::istringstream callers(caller_log);
    std::istringstream deep(deep_log);
    CHECK(read_log(deep, "deep.log", lines) == 0);
    CHECK(read_log(callers, "caller.log", lines) == 1);
    return log_archive(std::move(lines));
}

} // namespace

TEST_CASE("a log line is parsed with its quoted values") {
    const auto line = parse_log_line(
        R"(2026-04-17T11:22:16.500Z 6007 run_refused id=z verdict="not_run \"x\" 0" limit=18)",
        "f");
    REQUIRE(line.has_value());
    CHECK(line->number == 6007);
    CHECK(line->name == "run_refused");
    CHECK(line->field("verdict") == "not_run \"x\" 0");
    CHECK(line->field("limit") == "18");
    CHECK(line->field("none").empty());
    CHECK_FALSE(parse_log_line("", "f").has_value());
    CHECK_FALSE(parse_log_line("2026-04-17T11:22:16.500Z x y z", "f").has_value());
    CHECK_FALSE(parse_log_line("2026-04-17T11:22:16.500Z 6007 name nothing", "f").has_value());
}

TEST_CASE("a refusal for downstream overload names the overloaded route") {
    const auto story = archive().trace_of("a1");
    CHECK(story.result == request_result::refused);
    CHECK(story.cause.find("route r9") != std::string::npos);
    REQUIRE(story.evidence.size() == 1);
    CHECK(story.evidence.front().source == "deep.log");
}

TEST_CASE("a target's failure is traced to the deepest failed call") {
    const auto story = archive().trace_of("b2");
    CHECK(story.result == request_result::failed);
    CHECK(story.lines.size() == 3);
    CHECK(story.cause.find("its call b2.7.8 to deep: no room at deep") != std::string::npos);
}

TEST_CASE("a lost connection is reported with log lines of the instance's node") {
    const auto story = archive().trace_of("c3");
    CHECK(story.cause.find("connection_lost of an instance of front") != std::string::npos);
    CHECK(story.evidence.size() == 1);
}

TEST_CASE("a late response names the instance, and an unknown request is not found") {
    CHECK(archive().trace_of("d4").cause == "i-2 took 1548 ms in 2 tries");
    const auto none = archive().trace_of("zz");
    CHECK(none.result == request_result::not_found);
    CHECK(none.cause.empty());
}

TEST_CASE("unserved requests of callers are listed once, and calls of targets are not") {
    CHECK(archive().failed_requests() == std::vector<std::string>{"a1", "b2", "c3"});
}
