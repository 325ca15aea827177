#include <doctest/doctest.h>

#include "small_site.hpp"

using namespace trefoil;

namespace {

/// A call tree over four services in which each call makes two child calls. Each call has a unique
/// path, so that retries can be counted from outside: sends of a path in excess of the runs of its
/// parent's path.
struct call_tree : small_site {
    call_tree(bool in_parallel, std::uint64_t seed)
        : small_site(
              [in_parallel](const service_name& service, const std::string& path) {
                  const int depth = service.str()[1] - '0';
                  service_work work{2ms, {}, in_parallel};
                  if (depth < 3) {
                      const service_name next("s" + std::to_string(depth + 1));
                      work.children = {{next, "POST", path + "a"}, {next, "POST", path + "b"}};
                  }
                  return work;
              },
              seed) {
        fleet.observe_runs([this](const instance_id&, const http_request& request,
                                  const call_context&) { ++runs_of_path[request.path]; });
        fleet.observe_actions([this](const instance_id&, const action& what) {
            const auto* start = std::get_if<start_attempt>(&what);
            if (start != nullptr && std::holds_alternative<peer_destination>(start->to)) {
                ++sends_of_path[start->request->path];
            }
        });
        add("edge", "edge");
        for (const std::string service : {"s0", "s1", "s2", "s3"}) {
            for (const std::string instance : {"x", "y", "z"}) {
                add(service + instance, service, instance == "z" ? "d2" : "d1").target.app_retries =
                    2;
            }
        }
    }

    int retries() const {
        int sum = 0;
        for (const auto& [path, sends] : sends_of_path) {
            const auto parent = path.substr(0, path.size() - 1);
            const auto found = runs_of_path.find(parent);
            const int expected =
                path == "/x" ? 1 : (found == runs_of_path.end() ? 0 : found->second);
            sum += std::max(0, sends - expected);
        }
        return sum;
    }

    std::map<std::string, int> runs_of_path;
    std::map<std::string, int> sends_of_path;
};

void inject_fault(call_tree& site, random_source& random) {
    const auto all = site.fleet.instances();
    const auto& instance = all[random.below(all.size())];
    switch (random.below(5)) {
    case 0:
        site.fleet.restart(instance);
        break;
    case 1:
        site.fleet.target(instance).crash();
        break;
    case 2:
        site.fleet.pause(instance);
        site.run_for(3ms);
        site.fleet.resume(instance);
        break;
    case 3:
        site.fleet.cut("d1", "d2");
        break;
    default:
        site.fleet.heal_all();
        break;
    }
}

/// The service `front` makes the given calls. Calls to `back` always fail, because it calls the
/// service `nowhere`, which has no instance.
struct front_and_back : small_site {
    explicit front_and_back(std::vector<child_call> calls, bool in_parallel = false,
                            const std::string& front_row = "", std::uint32_t retries = 2)
        : small_site({{"front", {5ms, std::move(calls), in_parallel}},
                      {"back", {5ms, {{service_name("nowhere"), "GET", "/"}}, false}}}) {
        add("f1", "front").target.app_retries = 5;
        add("b1", "back");
        start(front_row, retries);
    }
};

const child_call post_back{service_name("back"), "POST", "/b"};
const child_call get_good{service_name("good"), "GET", "/g"};
const child_call post_good{service_name("good"), "POST", "/g"};

} // namespace

TEST_CASE(
    "retries of a whole request stay within the limit of its row under faults of every kind") {
    int total_retries = 0;
    for (std::uint64_t seed = 1; seed <= 40; ++seed) {
        const std::uint32_t allowed = seed % 4;
        call_tree site(seed % 2 == 0, seed);
        site.start("", allowed);
        random_source random(seed);
        for (int request = 0; request < 10; ++request) {
            site.runs_of_path.clear();
            site.sends_of_path.clear();
            site.send("edge", "s0");
            for (int i = 0; i < 10; ++i) {
                site.run_for(duration(random.below(4000)));
                inject_fault(site, random);
            }
            site.fleet.heal_all();
            site.run_for(3s);
            CAPTURE(seed);
            CHECK(site.retries() <= static_cast<int>(allowed));
            total_retries += site.retries();
        }
    }
    CHECK(total_retries > 100);
}

TEST_CASE("retries that the application makes are charged to the request's retry tokens") {
    front_and_back site({post_back});
    site.call("f1", "front");
    CHECK(site.runs["b1"] == 3);
}

TEST_CASE("a failed call of a request that must run at most once is not retried") {
    front_and_back site({post_back}, false, "pay,front,POST,/x,0,1,1000,2,100,yes,1000,99\n");
    const auto key = site.call("f1", "front").idempotency_key;
    site.call("f1", "front", key);
    CHECK(site.runs["b1"] == 1);
}

TEST_CASE("a call that was answered successfully may be made again without a token") {
    front_and_back site({post_good, post_good, get_good, get_good}, false, "", 0);
    site.fleet.add(site.add("g1", "good"));
    site.fleet.publish_members();
    site.run_for(1s);
    CHECK(site.call("f1", "front").status == 200);
    CHECK(site.runs["g1"] == 4);
}

TEST_CASE("equal reads in flight share one answer, equal writes count as retries") {
    for (const bool is_read : {true, false}) {
        const auto& call = is_read ? get_good : post_good;
        front_and_back site({call, call}, true, "", 0);
        site.fleet.add(site.add("g1", "good"));
        site.fleet.publish_members();
        site.run_for(1s);
        const auto response = site.call("f1", "front");
        CHECK(site.runs["g1"] == 1);
        CHECK(response.body == (is_read ? "(front 7(good 7)(good 7))" : ""));
    }
}

TEST_CASE("a target that continues to run after a restart of its node can make no more calls") {
    front_and_back site({post_back});
    site.send("f1", "front");
    site.run_for(9ms);
    CHECK(site.runs["f1"] == 1);
    site.fleet.restart(instance_id("f1"));
    site.run_for(3s);
    CHECK(site.runs["b1"] == 0);
}

TEST_CASE("a request that its caller withdraws is cancelled all the way down the call tree") {
    small_site site({{"front", {5ms, {{service_name("middle"), "POST", "/m"}}, false}},
                     {"middle", {5ms, {{service_name("back"), "POST", "/b"}}, false}},
                     {"back", {500ms, {{service_name("last"), "POST", "/l"}}, false}}});
    for (const std::string service : {"front", "middle", "back", "last"}) {
        site.add(service, service);
    }
    site.start("");
    site.send("front", "front");
    site.run_for(100ms);
    CHECK(site.runs["back"] == 1);
    site.fleet.withdraw(site.last_submission);
    site.run_for(50ms);
    for (const auto& member : site.members) {
        CHECK(site.fleet.core(member.core.self).status().calls == 0);
    }
    site.run_for(3s);
    CHECK(site.runs["last"] == 0);
}

TEST_CASE("many requests together retry a failing service only within its budget") {
    small_site site({{"busy", {50ms, {}, false}}});
    site.add("edge", "edge");
    for (const std::string name : {"b1", "b2", "b3", "b4"}) {
        auto& member = site.add(name, "busy");
        member.core.admission = {1, 10, 0};
        member.target.slots = 1;
    }
    site.start("", 3);
    int sends = 0;
    site.fleet.observe_actions([&](const instance_id&, const action& what) {
        sends += std::holds_alternative<start_attempt>(what) &&
                         std::holds_alternative<peer_destination>(std::get<start_attempt>(what).to)
                     ? 1
                     : 0;
    });
    constexpr int requests = 1000;
    for (int i = 0; i < requests; ++i) {
        site.send("edge", "busy");
        site.run_for(1ms);
    }
    site.run_for(2s);
    MESSAGE(requests << " requests, " << sends << " sends, " << site.runs_of_service("b")
                     << " runs");
    CHECK(site.runs_of_service("b") > 40);
    CHECK(sends > requests);
    CHECK(sends < requests * 12 / 10);
}

TEST_CASE("a call that a target sheds and declares as not run is retried at another instance") {
    small_site site({{"busy", {50ms, {}, false}}});
    site.add("edge", "edge");
    for (const std::string name : {"b1", "b2"}) {
        auto& member = site.add(name, "busy");
        member.target.slots = 1;
        member.target.backlog = 0;
    }
    site.start("", 1);
    const auto first = site.send("edge", "busy", "", "1");
    const auto second = site.send("edge", "busy", "", "2");
    const auto third = site.send("edge", "busy", "", "3");
    site.run_for(1s);
    int answered = 0;
    for (const auto& response : {first, second, third}) {
        REQUIRE(*response);
        answered += (*response)->info.result == outcome::completed ? 1 : 0;
        if ((*response)->info.result != outcome::completed) {
            CHECK((*response)->info.result == outcome::not_run);
            CHECK((*response)->info.reason == refusal::overload);
        }
    }
    CHECK(answered >= 2);
    CHECK(site.runs_of_service("b") == answered);
}
