#include "process_site.hpp"

using namespace trefoil;

namespace {

const std::string payment_table = table_header +
                                  "payment,pay,POST,/pay,0,10,5000,2,100,yes,65536,99\n"
                                  "default,*,*,*,5,1,5000,2,100,no,65536,99\n";

/// Two instances of the service `pay`, whose nodes both accept requests from callers.
struct payment_site : process_site {
    explicit payment_site(double work_ms) {
        start_platform(payment_table);
        add({"p1", "pay", "d1", "", work_ms});
        add({"p2", "pay", "d1", "", work_ms});
        start_all();
    }

    std::uint64_t payments() { return runs_of("p1") + runs_of("p2"); }

    std::string key_from(const std::string& name) {
        const auto response = call(name, "POST", "/pay", "12");
        REQUIRE(response);
        CHECK(response->status == 428);
        CHECK(find_header(response->headers, "trefoil-outcome") == "not_run");
        return std::string(find_header(response->headers, "idempotency-key"));
    }

    std::optional<http_answer> pay(const std::string& name, const std::string& key,
                                   const std::string& body = "12",
                                   std::vector<http_header> more = {}) {
        more.push_back({"idempotency-key", key});
        return call(name, "POST", "/pay", body, std::move(more));
    }
};

} // namespace

TEST_CASE("a payment runs once, however often and to whichever node its key is sent") {
    payment_site site(1);
    const auto key = site.key_from("p1");
    CHECK(site.payments() == 0);
    for (const auto* name : {"p2", "p1", "p2", "p1"}) {
        const auto response = site.pay(name, key);
        REQUIRE(response);
        CHECK(response->status == 200);
        CHECK(response->body == "(pay 12)");
        CHECK(find_header(response->headers, "trefoil-outcome") == "completed");
    }
    CHECK(site.payments() == 1);
    CHECK(site.pay("p1", key, "13")->status == 422);
    CHECK(site.pay("p2", key, "12", {{"authorization", "Bearer other"}})->status == 422);
    CHECK(site.payments() == 1);
}

TEST_CASE("a payment completes without its caller, and its response is kept for the key") {
    payment_site site(400);
    const auto key = site.key_from("p1");
    const http_request request{
        "POST", "/pay", service_name("pay"), {{"idempotency-key", key}}, "12", "", ""};
    std::vector<http_client::request_id> sent;
    for (const auto* name : {"p1", "p2"}) {
        sent.push_back(site.send(name, request, [](const exchange_result&) {}));
    }
    site.wait_until([&] { return site.payments() == 1; });
    for (const auto id : sent) {
        site.cancel(id);
    }
    const auto response = site.pay("p2", key);
    REQUIRE(response);
    CHECK(response->status == 200);
    CHECK(response->body == "(pay 12)");
    CHECK(site.payments() == 1);
}

TEST_CASE("after a kill of the key's owner the outcome is unknown and nothing runs again") {
    payment_site site(1);
    const auto key = site.key_from("p1");
    CHECK(site.pay("p2", key)->status == 200);
    site.node("p1").signal(SIGKILL);
    site.node("p1").wait();
    const auto after_kill = site.pay("p2", key);
    REQUIRE(after_kill);
    CHECK(after_kill->status == 502);
    CHECK(find_header(after_kill->headers, "trefoil-outcome") == "unknown");
    site.start_node("p1");
    site.wait_until([&] {
        const auto response = site.pay("p2", key);
        return response && response->status == 410;
    });
    CHECK(site.payments() == 1);
}
