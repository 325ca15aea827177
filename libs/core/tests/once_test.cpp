#include <doctest/doctest.h>

#include <trefoil/once/idempotency_key.hpp>

#include "small_site.hpp"

using namespace trefoil;

namespace {

const std::string once_row = "payment,pay,POST,/x,0,1,1000,2,100,yes,100000,99\n";

/// Two edge nodes, e1 and e2, and two instances of the service `pay`.
struct payment_site : small_site {
    explicit payment_site(idempotency_record_limits kept = {})
        : small_site({{"pay", {100ms, {}, false}}}) {
        add("e1", "edge").core.idempotency_limits = kept;
        add("e2", "edge", "d2");
        add("p1", "pay");
        add("p2", "pay");
        start(once_row);
    }

    std::string key_from(const std::string& node, const std::string& body = "7",
                         const std::string& caller = "nurse") {
        const auto response = call(node, "pay", "", body, caller);
        CHECK(response.info.result == outcome::not_run);
        CHECK(response.info.reason == refusal::key_required);
        return response.idempotency_key;
    }

    int payments() const { return runs_of_service("p"); }
};

} // namespace

TEST_CASE("a request that must run at most once needs a key, and the key runs it once") {
    payment_site site;
    const auto key = site.key_from("e1");
    CHECK(site.payments() == 0);
    const auto first = site.call("e1", "pay", key);
    CHECK(first.status == 200);
    CHECK(first.body == "(pay 7)");
    for (const std::string node : {"e1", "e2", "p1"}) {
        const auto again = site.call(node, "pay", key);
        CHECK(again.info.result == outcome::completed);
        CHECK(again.body == first.body);
    }
    CHECK(site.payments() == 1);
}

TEST_CASE("concurrent requests with the same key, sent to any nodes, join one run") {
    payment_site site;
    const auto key = site.key_from("e1");
    std::vector<std::shared_ptr<std::optional<caller_result>>> responses;
    for (const std::string node : {"e2", "e1", "p2", "e2", "e1"}) {
        responses.push_back(site.send(node, "pay", key));
        site.run_for(2ms);
    }
    site.run_for(2s);
    for (const auto& one : responses) {
        REQUIRE(*one);
        CHECK((*one)->status == 200);
    }
    CHECK(site.payments() == 1);
}

TEST_CASE("a key of another caller, of another body, guessed or made by the caller runs nothing") {
    payment_site site;
    const auto key = site.key_from("e1");
    for (const std::string node : {"e1", "e2"}) {
        CHECK(site.call(node, "pay", key, "7", "thief").info.reason == refusal::key_invalid);
        CHECK(site.call(node, "pay", key, "8").info.reason == refusal::key_invalid);
        auto guessed = *parse_idempotency_key(key);
        ++guessed.number;
        const auto response = site.call(node, "pay", to_string(guessed));
        CHECK(response.info.reason == refusal::key_invalid);
        CHECK(response.info.result == outcome::unknown);
    }
    const auto own = site.call("e1", "pay", "0b6a9f4e-52cf");
    CHECK(own.info.reason == refusal::key_required);
    CHECK(parse_idempotency_key(own.idempotency_key));
    CHECK(site.payments() == 0);
    CHECK(site.call("e2", "pay", key).status == 200);
}

TEST_CASE("a stored answer is not returned to another caller") {
    payment_site site;
    const auto key = site.key_from("e1");
    CHECK(site.call("e1", "pay", key).status == 200);
    const auto response = site.call("e1", "pay", key, "7", "thief");
    CHECK(response.info.reason == refusal::key_invalid);
    CHECK(response.body.empty());
}

TEST_CASE("the loss of the caller's connection does not cancel the run") {
    payment_site site;
    const auto key = site.key_from("e1");
    for (const std::string node : {"e1", "e2"}) {
        site.send(node, "pay", key);
        site.run_for(20ms);
        site.fleet.withdraw(site.last_submission);
    }
    site.run_for(2s);
    const auto again = site.call("e2", "pay", key);
    CHECK(again.status == 200);
    CHECK(again.info.result == outcome::completed);
    CHECK(site.payments() == 1);
}

TEST_CASE("after a restart of the owner the outcome is unknown, never a second run") {
    payment_site site;
    const auto key = site.key_from("e1");
    CHECK(site.call("e1", "pay", key).status == 200);
    site.fleet.restart(instance_id("e1"));
    site.run_for(1s);
    for (const std::string node : {"e1", "e2"}) {
        const auto response = site.call(node, "pay", key);
        CHECK(response.info.result == outcome::unknown);
        CHECK(response.info.reason == refusal::key_owner_gone);
    }
    CHECK(site.payments() == 1);
}

TEST_CASE("while the owner is cut off or gone the outcome is unknown") {
    payment_site site;
    const auto key = site.key_from("e1");
    site.fleet.cut("d1", "d2");
    const auto cut_off = site.call("e2", "pay", key);
    CHECK(cut_off.info.result == outcome::unknown);
    CHECK(cut_off.info.reason == refusal::connection_lost);
    site.fleet.heal_all();
    CHECK(site.call("e2", "pay", key).status == 200);
    site.fleet.kill(instance_id("e1"));
    CHECK(site.call("e2", "pay", key).info.result == outcome::unknown);
    site.fleet.publish_members();
    site.run_for(5s);
    CHECK(site.call("e2", "pay", key).info.reason == refusal::key_owner_gone);
    CHECK(site.payments() == 1);
}

TEST_CASE("the outcome of a run whose instance is killed stays unknown after the restart") {
    payment_site site;
    const auto key = site.key_from("e1");
    const auto pending = site.send("e1", "pay", key);
    site.run_for(30ms);
    site.fleet.kill(instance_id("p1"));
    site.fleet.kill(instance_id("p2"));
    site.run_for(2s);
    REQUIRE(*pending);
    CHECK((*pending)->info.result == outcome::unknown);
    site.fleet.restart(instance_id("p1"));
    site.fleet.restart(instance_id("p2"));
    site.run_for(2s);
    CHECK(site.call("e2", "pay", key).info.result == outcome::unknown);
    CHECK(site.payments() == 1);
}

TEST_CASE("a key stays valid after a refusal as not run") {
    payment_site site;
    const auto key = site.key_from("e1");
    site.publish_table("payment,pay,POST,/x,0,1,1000,2,0,yes,100000,99\n");
    site.run_for(1s);
    const auto refused = site.call("e1", "pay", key);
    CHECK(refused.info.result == outcome::not_run);
    CHECK(refused.info.reason == refusal::kind_limit);
    site.publish_table(once_row);
    site.run_for(1s);
    CHECK(site.call("e2", "pay", key).status == 200);
    CHECK(site.payments() == 1);
}

TEST_CASE("a key does not run twice after a table change that no longer requires keys") {
    payment_site site;
    const auto key = site.key_from("e1");
    CHECK(site.call("e1", "pay", key).status == 200);
    site.publish_table("payment,pay,POST,/x,0,1,1000,2,100,no,100000,99\n");
    site.run_for(1s);
    CHECK(site.call("e2", "pay", key).status == 200);
    CHECK(site.payments() == 1);
}

TEST_CASE("the outcome under an expired key is unknown, whether the key was used or not") {
    payment_site site;
    const auto used = site.key_from("e1");
    const auto unused = site.key_from("e1", "8");
    CHECK(site.call("e1", "pay", used).status == 200);
    site.run_for(700s);
    CHECK(site.call("e1", "pay", used).info.result == outcome::unknown);
    CHECK(site.call("e2", "pay", unused, "8").info.result == outcome::unknown);
    CHECK(site.payments() == 1);
}

TEST_CASE("a request whose record is evicted for lack of memory does not run again") {
    payment_site site({600s, 2, 1'000'000});
    std::vector<std::string> keys;
    for (int i = 0; i < 5; ++i) {
        const auto body = std::to_string(i);
        keys.push_back(site.key_from("e1", body));
        CHECK(site.call("e1", "pay", keys.back(), body).status == 200);
    }
    for (int i = 0; i < 5; ++i) {
        const auto response = site.call("e2", "pay", keys[i], std::to_string(i));
        CHECK(response.info.result == (i < 3 ? outcome::unknown : outcome::completed));
    }
    CHECK(site.payments() == 5);
}

TEST_CASE("a request whose answer is dropped for lack of memory stays recorded") {
    payment_site site({600s, 100, 20});
    const std::string long_body = "twenty bytes and more";
    const auto first = site.key_from("e1", "1");
    CHECK(site.call("e1", "pay", first, "1").status == 200);
    const auto second = site.key_from("e1", long_body);
    CHECK(site.call("e1", "pay", second, long_body).status == 200);
    CHECK(site.call("e1", "pay", first, "1").info.result == outcome::unknown);
    CHECK(site.call("e1", "pay", second, long_body).info.result == outcome::unknown);
    CHECK(site.payments() == 2);
}

TEST_CASE(
    "a key chosen by the caller joins resent requests with the same caller and body at one node") {
    small_site site({{"read", {100ms, {}, false}}});
    site.add("r1", "read");
    site.start("");
    const auto first = site.send("r1", "read", "own-key");
    const auto again = site.send("r1", "read", "own-key");
    site.run_for(1s);
    REQUIRE(*first);
    REQUIRE(*again);
    CHECK((*again)->body == (*first)->body);
    CHECK(site.call("r1", "read", "own-key").status == 200);
    CHECK(site.runs["r1"] == 1);
    CHECK(site.call("r1", "read", "own-key", "8").body == "(read 8)");
    CHECK(site.call("r1", "read", "own-key", "7", "other").status == 200);
    CHECK(site.call("r1", "read").status == 200);
    CHECK(site.runs["r1"] == 4);
}
