#include "process_site.hpp"
#include "raw_connection.hpp"

using namespace trefoil;

namespace {

const std::string open_table = table_header + "default,*,*,*,5,1,5000,2,100,no,65536,99\n";

std::string table_with_max_in_flight(int max_in_flight) {
    return table_header + fmt::format("default,*,*,*,5,1,5000,2,{},no,65536,99\n", max_in_flight);
}

/// A service with one instance that calls a service with two instances.
struct small_site : process_site {
    explicit small_site(double work_ms = 5) {
        start_platform(open_table);
        add({"a1", "a", "d1", "b:/b", work_ms});
        add({"b1", "b", "d1", "", work_ms});
        add({"b2", "b", "d2", "", work_ms});
        start_all();
    }

    bool serves(const std::string& name) {
        const auto answer = call(name, "GET", "/x", "probe");
        return answer && answer->status == 200;
    }

    bool has_calls_in_flight(const std::string& name) {
        return status_of(name).find("\"calls\":0,") == std::string::npos;
    }
};

/// A group of concurrent requests, each with a unique body.
class request_group {
public:
    explicit request_group(process_site& site, std::string prefix)
        : site_(site), prefix_(std::move(prefix)) {}

    void send(const std::string& node, int count) {
        for (int i = 0; i < count; ++i) {
            const auto body = fmt::format("{}-{}", prefix_, results_.size());
            results_.emplace(body, std::nullopt);
            site_.send(node, {"GET", "/x", service_name("a"), {}, body, "", ""},
                       [this, body](exchange_result result) {
                           CHECK_FALSE(results_.at(body).has_value());
                           results_.at(body) = std::move(result);
                       });
        }
    }

    bool is_complete() const {
        return std::all_of(results_.begin(), results_.end(),
                           [](const auto& entry) { return entry.second.has_value(); });
    }

    void wait() {
        site_.wait_until([this] { return is_complete(); });
    }

    /// Checks that each result is the complete response to that request, a typed refusal, or a lost
    /// connection if these are allowed. A request with the outcome not_run must not have
    /// run on any target.
    void check(const std::vector<std::string>& targets, bool allows_lost_connections) {
        for (const auto& entry : results_) {
            const auto& body = entry.first;
            const auto& end = entry.second;
            REQUIRE(end.has_value());
            const auto* answer = std::get_if<http_answer>(&*end);
            if (answer == nullptr) {
                CHECK(allows_lost_connections);
                continue;
            }
            const auto outcome = find_header(answer->headers, "trefoil-outcome");
            INFO(body, " ", answer->status, " ", answer->body);
            if (answer->status == 200) {
                CHECK(answer->body == fmt::format("(a {0}(b {0}))", body));
                CHECK(outcome == "completed");
                ++answered_;
            } else if (outcome == "not_run") {
                for (const auto& target : targets) {
                    CHECK(site_.runs_of_body(target, body) == 0);
                }
            } else {
                CHECK(!outcome.empty());
            }
        }
    }

    int answered() const { return answered_; }

private:
    process_site& site_;
    std::string prefix_;
    std::map<std::string, std::optional<exchange_result>> results_;
    int answered_ = 0;
};

const std::vector<std::string> all_targets = {"a1", "b1", "b2"};

} // namespace

TEST_CASE("SIGKILL of a node under load causes only typed refusals and lost connections") {
    small_site site(30);
    request_group group(site, "kill");
    group.send("a1", 40);
    site.wait_until([&] { return site.runs_of("b1") + site.runs_of("b2") > 0; });
    site.node("b1").signal(SIGKILL);
    group.send("a1", 10);
    group.wait();
    group.check(all_targets, false);
    CHECK(group.answered() > 0);
    site.wait_until([&] { return site.serves("a1"); });
    site.start_node("b1");
    site.wait_until([&] { return site.serves("b1"); });
}

TEST_CASE("after SIGKILL and a restart, the node that the callers use serves again") {
    small_site site(30);
    request_group group(site, "edge");
    group.send("a1", 20);
    site.wait_until([&] { return site.runs_of("a1") > 0; });
    site.node("a1").signal(SIGKILL);
    group.wait();
    group.check(all_targets, true);
    site.start_node("a1");
    site.wait_until([&] { return site.serves("a1"); });
    site.wait_until(
        [&] { return !site.has_calls_in_flight("b1") && !site.has_calls_in_flight("b2"); });
}

TEST_CASE("SIGSTOP and SIGCONT of a node under load lose no connection and leave no call") {
    small_site site(30);
    request_group group(site, "stop");
    group.send("a1", 30);
    site.wait_until([&] { return site.runs_of("b1") + site.runs_of("b2") > 0; });
    site.node("b1").signal(SIGSTOP);
    group.send("a1", 10);
    group.wait();
    site.node("b1").signal(SIGCONT);
    site.wait_until([&] { return site.serves("b1") && site.serves("a1"); });
    site.wait_until(
        [&] { return !site.has_calls_in_flight("b1") && !site.has_calls_in_flight("a1"); });
    group.check(all_targets, false);
}

TEST_CASE("no call stays in flight after its caller resets the connection") {
    small_site site(50);
    {
        const raw_connection caller(site.address("a1", "caller"));
        caller.write("GET /x HTTP/1.1\r\nhost: a\r\ncontent-length: 3\r\n\r\ncut");
        site.wait_until([&] { return site.runs_of_body("a1", "cut") == 1; });
        caller.reset();
    }
    site.wait_until(
        [&] { return !site.has_calls_in_flight("a1") && !site.has_calls_in_flight("b1"); });
    CHECK(site.serves("a1"));
    CHECK(site.call("a1", "GET", "/x", "next")->body == "(a next(b next))");
}

TEST_CASE("a node without documents refuses requests until the platform is reachable") {
    process_site site;
    site.start_platform(open_table);
    site.set_platform_mode("down");
    site.add({"a1", "a", "d1", "", 1});
    site.start_target("a1");
    site.start_node("a1");
    std::optional<http_answer> refused;
    site.wait_until([&] {
        refused = site.call("a1", "GET", "/x", "early");
        return refused.has_value();
    });
    CHECK(refused->status == 503);
    CHECK(find_header(refused->headers, "trefoil-outcome") == "not_run");
    CHECK(site.runs_of("a1") == 0);
    site.set_platform_mode("serving");
    site.publish_members();
    site.wait_until([&] {
        const auto answer = site.call("a1", "GET", "/x", "late");
        return answer && answer->status == 200;
    });
    CHECK(site.runs_of_body("a1", "early") == 0);
}

TEST_CASE("a platform failure at run time stops no call and reverts no table") {
    small_site site;
    site.publish("table", table_with_max_in_flight(50));
    const auto holds = [&](const std::string& name, int number) {
        return site.status_of(name).find(fmt::format("\"table\":{{\"revision\":{},", number)) !=
               std::string::npos;
    };
    site.wait_until([&] { return holds("a1", 2) && holds("b1", 2); });
    for (const auto* mode : {"down", "stale", "garbage", "hang"}) {
        site.set_platform_mode(mode);
        CHECK(site.serves("a1"));
        CHECK(holds("a1", 2));
    }
    site.set_platform_mode("serving");
    site.publish("table", table_with_max_in_flight(40));
    site.wait_until([&] { return holds("a1", 3) && holds("b1", 3) && holds("b2", 3); });
    CHECK(site.serves("a1"));
}

TEST_CASE("SIGTERM under load aborts no request") {
    small_site site(20);
    request_group group(site, "term");
    group.send("a1", 12);
    site.wait_until([&] { return site.runs_of("a1") >= 1; });
    site.node("b1").signal(SIGTERM);
    site.node("a1").signal(SIGTERM);
    group.wait();
    group.check(all_targets, false);
    CHECK(group.answered() > 0);
    CHECK(site.node("a1").wait() == 0);
    CHECK(site.node("b1").wait() == 0);
}

TEST_CASE("a request that crashes its target has an unknown outcome, and the node keeps running") {
    small_site site;
    const auto answer = site.call("b1", "GET", "/crash", "poison");
    REQUIRE(answer);
    CHECK(answer->status >= 500);
    CHECK(find_header(answer->headers, "trefoil-outcome") == "unknown");
    CHECK(site.node("b1").is_running());
    for (const auto* name : {"b1", "b2"}) {
        if (!site.target(name).is_running()) {
            site.start_target(name);
        }
    }
    site.wait_until([&] { return site.serves("a1"); });
}

TEST_CASE("after rapid table changes every node holds the last one") {
    small_site site;
    for (int i = 0; i < 10; ++i) {
        site.publish("table", table_with_max_in_flight(0));
        site.publish("table", table_with_max_in_flight(100));
    }
    const std::string last = "\"table\":{\"revision\":21,";
    for (const auto* name : {"a1", "b1", "b2"}) {
        site.wait_until([&] { return site.status_of(name).find(last) != std::string::npos; });
    }
    CHECK(site.serves("a1"));
}

TEST_CASE("an invalid table is rejected as a whole and the previous one stays in force") {
    small_site site;
    site.publish("table", table_header + "default,*,*,*,5,1,5000,two,100,no,65536,99\n");
    site.wait_until(
        [&] { return site.log_of("a1").find("document_refused") != std::string::npos; });
    CHECK(site.serves("a1"));
    CHECK(site.status_of("a1").find("\"table\":{\"revision\":1,") != std::string::npos);
    site.publish("table", table_with_max_in_flight(70));
    site.wait_until([&] {
        return site.status_of("a1").find("\"table\":{\"revision\":3,") != std::string::npos;
    });
}

TEST_CASE("malformed requests never reach a target") {
    small_site site;
    const std::string fields = "GET /x HTTP/1.1\r\nhost: a\r\n";
    const std::vector<std::string> broken = {
        "\x01\x02\x03\r\n\r\n",
        "GET /x HTTP/9.9\r\nhost: a\r\n\r\n",
        "GET\r\n\r\n",
        fields + "content-length: -1\r\n\r\n",
        fields + "content-length: x\r\n\r\n",
        fields + "content-length: 18446744073709551616\r\n\r\n",
        fields + "transfer-encoding: chunked\r\n\r\nzz\r\nbody\r\n0\r\n\r\n",
        fields + "x: " + std::string(600'000, 'x') + "\r\n\r\n",
        fields + "no colon\r\n\r\n",
        fields + "content-length: 100\r\n\r\ntoo short",
    };
    const auto runs = site.runs_of("a1") + site.runs_of("b1");
    for (const auto* role : {"caller", "peer", "app"}) {
        for (const auto& bytes : broken) {
            INFO(role, ": ", bytes.substr(0, 80));
            const raw_connection outsider(site.address("a1", role));
            outsider.write(bytes);
            outsider.finish_writing();
            const auto answer = outsider.read_to_end();
            CHECK(answer.find(" 200 ") == std::string::npos);
        }
    }
    CHECK(site.runs_of("a1") + site.runs_of("b1") == runs);
    CHECK(site.node("a1").is_running());
    CHECK(site.serves("a1"));
}

TEST_CASE("a body above the row's limit is refused with its reason") {
    small_site site;
    const auto refused = site.call("a1", "POST", "/x", std::string(70'000, 'x'));
    REQUIRE(refused);
    CHECK(refused->status == 413);
    CHECK(find_header(refused->headers, "trefoil-outcome") == "not_run");
    CHECK(site.runs_of("a1") == 0);
}

TEST_CASE("a forged or malformed call context is not trusted") {
    small_site site;
    const auto forged = site.call("a1", "GET", "/x", "forged",
                                  {{"trefoil-context", "AAAA"}, {"baggage", "trefoil=AAAA"}});
    REQUIRE(forged);
    CHECK(forged->status == 200);
    CHECK(forged->body == "(a forged(b forged))");

    const auto at_listener = [&](const std::string& role, std::vector<http_header> headers) {
        const auto answer =
            site.exchange(site.address("b1", role),
                          {"GET", "/b", service_name("b"), std::move(headers), "peer", "", ""});
        REQUIRE(answer);
        return answer->status;
    };
    CHECK(at_listener("peer", {}) == 400);
    CHECK(at_listener("peer", {{"trefoil-context", "not base64 !"}}) == 400);
    CHECK(at_listener("peer", {{"trefoil-context", "AAAA"}, {"trefoil-sender", "1"}}) == 400);
    CHECK(at_listener("peer", {{"trefoil-context", std::string(5000, 'A')},
                               {"trefoil-sender", "1"}}) == 400);
    CHECK(at_listener("app", {{"baggage", "trefoil=not base64 !"}}) == 400);
    CHECK(site.runs_of_body("b1", "peer") == 0);
    CHECK(site.serves("b1"));
}
