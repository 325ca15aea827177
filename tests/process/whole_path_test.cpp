#include "process_site.hpp"

using namespace trefoil;

namespace {

const std::string open_table = table_header + "default,*,*,*,5,1,5000,2,100,no,65536,99\n";
const std::string refusing_table = table_header + "default,*,*,*,5,1,5000,2,0,no,65536,99\n";

/// More platform calls than two nodes make at the start, so that some of them fail.
constexpr std::uint64_t platform_calls_while_down = 8;

struct two_services : process_site {
    two_services() {
        start_platform(open_table);
        add({"a1", "a", "d1", "b:/b"});
        add({"b1", "b", "d1", ""});
        start_all();
    }
};

} // namespace

TEST_CASE(
    "separate processes serve a request end to end, and a new table changes what is refused") {
    two_services site;
    const auto answer = site.call("a1", "GET", "/x", "7");
    REQUIRE(answer);
    CHECK(answer->status == 200);
    CHECK(answer->body == "(a 7(b 7))");
    CHECK(find_header(answer->headers, "trefoil-outcome") == "completed");

    site.publish("table", refusing_table);
    std::optional<http_answer> refused;
    site.wait_until([&] {
        refused = site.call("a1", "GET", "/x", "7");
        return refused && refused->status == 429;
    });
    CHECK(find_header(refused->headers, "trefoil-outcome") == "not_run");
    CHECK(find_header(refused->headers, "retry-after") == "1");
    const auto runs = site.runs_of("a1");
    CHECK(site.call("a1", "GET", "/x", "7")->status == 429);
    CHECK(site.runs_of("a1") == runs);

    site.publish("table", open_table);
    site.wait_until([&] { return site.call("a1", "GET", "/x", "7")->status == 200; });
}

TEST_CASE("SIGTERM aborts no request in flight") {
    process_site site;
    site.start_platform(open_table);
    site.add({"a1", "a", "d1", "b:/b", 300});
    site.add({"b1", "b", "d1", ""});
    site.start_all();
    std::optional<exchange_result> result;
    site.send("a1", {"GET", "/x", service_name("a"), {}, "7", "", ""},
              [&](exchange_result r) { result = std::move(r); });
    const auto runs_at_start = site.runs_of("a1");
    site.wait_until([&] { return site.runs_of("a1") > runs_at_start || result; });
    site.node("a1").signal(SIGTERM);
    while (!result) {
        site.run_loop_once();
    }
    REQUIRE(std::holds_alternative<http_answer>(*result));
    CHECK(std::get<http_answer>(*result).body == "(a 7(b 7))");
    CHECK(site.node("a1").wait() == 0);
}

TEST_CASE("SIGTERM ends the process while the platform is down and reads are due again") {
    two_services site;
    site.set_platform_mode("down");
    site.wait_until([&] {
        site.call("a1", "GET", "/x", "7");
        return site.platform_call_count() > platform_calls_while_down;
    });
    site.node("a1").signal(SIGTERM);
    CHECK(site.node("a1").wait() == 0);
}
