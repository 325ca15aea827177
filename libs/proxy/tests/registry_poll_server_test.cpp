// Answers to polls of many nodes that read slowly.
#include <doctest/doctest.h>

#include <algorithm>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include <fmt/format.h>
#include <unistd.h>
#include <uv.h>

#include <trefoil/base/overloaded.hpp>
#include <trefoil/http1/client.hpp>
#include <trefoil/http1/loop_timer.hpp>
#include <trefoil/http1/server.hpp>

#include "heap_bytes.hpp"
#include "registry_poll.hpp"
#include "registry_poll_server.hpp"

using namespace trefoil;

namespace {

constexpr std::size_t record_count = 12;
constexpr std::size_t record_bytes = 1U << 20U;
constexpr std::size_t node_count = 24;
/// What the answers may hold together: the body once, and a small part for each node.
constexpr std::size_t max_held_bytes = 24U << 20U;

/// A node that has sent a poll and stops reading when the answer begins.
struct polling_node {
    std::unique_ptr<http1::exchange> exchange;
    bool has_begun = false;
    bool is_finished = false;
    std::size_t body_bytes = 0;
};

struct poll_site {
    uv_loop_t loop{};
    registry_replica replica;
    registry_poll_server poll_server;
    std::unique_ptr<http1::server> listener;
    std::unique_ptr<http1::client> client;
    endpoint address{fmt::format("127.88.{}.{}", getpid() / 250 % 250, 1 + getpid() % 250), 24'000};

    poll_site() {
        uv_loop_init(&loop);
        std::vector<registry_record> records;
        for (std::size_t i = 0; i < record_count; ++i) {
            records.push_back({std::to_string(i), std::string(record_bytes, 'v'), i + 1, 1, false});
        }
        replica.merge_all(std::move(records), record_count);
        auto made = http1::server::listen(
            &loop, address, {}, [this](const std::shared_ptr<http1::served_request>& request) {
                poll_server.serve(http1::boot_time(), request, {&replica, 0ms, false, {}});
            });
        REQUIRE(made.ok());
        listener = std::move(*made);
        client = std::make_unique<http1::client>(&loop, http1::connection_pool_limits{});
    }
    ~poll_site() {
        client.reset();
        listener.reset();
        uv_run(&loop, UV_RUN_DEFAULT);
        uv_loop_close(&loop);
    }

    void poll(polling_node& node) {
        http1::request_head head;
        head.method = "GET";
        head.target = "/";
        head.headers = {{std::string(poll_field), encode_poll({0, true})}};
        node.exchange =
            client->start(address, head, {}, true, {}, [&node](http1::exchange_event event) {
                std::visit(overloaded{[&](const http1::response_head&) {
                                          node.has_begun = true;
                                          node.exchange->pause();
                                      },
                                      [&](const http1::body_piece& piece) {
                                          node.body_bytes += piece.bytes.size();
                                      },
                                      [&](const http1::message_end&) { node.is_finished = true; },
                                      [](http1::exchange_failure) {}},
                           event);
            });
    }

    bool run_until(const std::function<bool()>& condition) {
        const auto end = uv_hrtime() + 20'000'000'000ULL;
        while (!condition() && uv_hrtime() < end) {
            uv_run(&loop, UV_RUN_ONCE);
        }
        return condition();
    }
};

} // namespace

TEST_CASE("answers to polls of many slow nodes hold what they send once") {
    poll_site site;
    const auto expected = encode_records(site.replica.changes_since(0).records).size();
    std::vector<polling_node> nodes(node_count);
    const auto before = heap_bytes();
    for (auto& node : nodes) {
        site.poll(node);
    }
    const auto all = [&](bool polling_node::*what) {
        return std::all_of(nodes.begin(), nodes.end(),
                           [&](const polling_node& node) { return node.*what; });
    };
    REQUIRE(site.run_until([&] { return all(&polling_node::has_begun); }));
    CHECK(heap_bytes() - before < expected + max_held_bytes);
    for (auto& node : nodes) {
        node.exchange->resume();
    }
    REQUIRE(site.run_until([&] { return all(&polling_node::is_finished); }));
    for (const auto& node : nodes) {
        CHECK(node.body_bytes == expected);
    }
}
