// Long request bodies beside targets that read slowly, late or not at all.
#include <doctest/doctest.h>

#include <array>
#include <memory>
#include <string>
#include <vector>

#include "upload_site.hpp"

using namespace trefoil;

namespace {

constexpr std::size_t body_size = 48U << 20U;
/// What the buffers of the sockets on the way may hold, and the bounds of the nodes.
constexpr std::size_t max_taken = 24U << 20U;

/// Time within which a slot is free again. Without an end of the client's connection it takes about
/// two seconds more, until the worker's connection is given up.
constexpr std::uint64_t max_time_to_free_ns = 1'200'000'000;

/// Where the target of an upload is, and how its body is framed.
struct upload_way {
    std::size_t target_machine = 0;
    bool is_chunked = false;
};

constexpr std::array<upload_way, 4> all_ways{{{0, false}, {0, true}, {1, false}, {1, true}}};

} // namespace

TEST_CASE("an upload to a slow worker is read no faster than the worker takes it") {
    for (const auto& way : all_ways) {
        CAPTURE(way.target_machine);
        CAPTURE(way.is_chunked);
        upload_site uploads(way.target_machine);
        const auto client = uploads.upload(body_size, way.is_chunked);
        REQUIRE(uploads.site.run_until([&] { return uploads.target->heads_with_body == 1; }));
        uploads.run_until_stalled(*client);
        CHECK(client->taken() < max_taken);
        uploads.target->read_on();
        REQUIRE(uploads.site.run_until([&] { return client->is_answered(); }));
        CHECK(client->received.starts_with("HTTP/1.1 200"));
        CHECK(uploads.target->body_bytes == body_size);
        CHECK(uploads.target->is_body_right);
    }
}

TEST_CASE("a body that waits at the gate is bounded") {
    for (const auto& way : all_ways) {
        CAPTURE(way.target_machine);
        CAPTURE(way.is_chunked);
        upload_site uploads(way.target_machine);
        uploads.target->stops_at_bodies = false;
        uploads.target->hangs = true;
        // Three of the four slots are usable.
        std::array<reply, 3> hanging;
        for (auto& one : hanging) {
            uploads.site.caller_id += "x";
            uploads.site.send(one, "/read/hang");
        }
        REQUIRE(uploads.site.run_until([&] { return uploads.target->hanging == 3; }));
        const auto client = uploads.upload(body_size, way.is_chunked);
        uploads.run_until_stalled(*client);
        CHECK(uploads.target->heads_with_body == 0);
        CHECK(client->taken() < max_taken);
        uploads.target->answer_hanging();
        REQUIRE(uploads.site.run_until([&] { return client->is_answered(); }));
        CHECK(client->received.starts_with("HTTP/1.1 200"));
        CHECK(uploads.target->body_bytes == body_size);
        CHECK(uploads.target->is_body_right);
    }
}

TEST_CASE("other requests are served while an upload waits for its worker") {
    for (const auto& way : all_ways) {
        CAPTURE(way.target_machine);
        upload_site uploads(way.target_machine);
        const auto client = uploads.upload(body_size, way.is_chunked);
        REQUIRE(uploads.site.run_until([&] { return uploads.target->heads_with_body == 1; }));
        uploads.run_until_stalled(*client);
        CHECK(uploads.site.ask("/read/1").status == 200);
    }
}

TEST_CASE("clients that leave during uploads free the slots of a worker that does not read") {
    for (const auto& way : all_ways) {
        CAPTURE(way.target_machine);
        CAPTURE(way.is_chunked);
        upload_site uploads(way.target_machine);
        // Three of the four slots are usable.
        std::array<std::unique_ptr<uploader>, 3> clients;
        for (auto& client : clients) {
            client = uploads.upload(body_size, way.is_chunked);
        }
        REQUIRE(uploads.site.run_until([&] { return uploads.target->heads_with_body == 3; }));
        uploads.run_until_stalled(*clients.back());
        for (const auto& client : clients) {
            client->leave();
        }
        const auto left_at = uv_hrtime();
        CHECK(uploads.site.ask("/read/1").status == 200);
        CHECK(uv_hrtime() - left_at < max_time_to_free_ns);
        uploads.target->read_on();
        REQUIRE(uploads.site.run_until([&] { return uploads.target->ended_connections == 3; }));
        CHECK(uploads.target->whole_bodies == 0);
    }
}

TEST_CASE("the rest of a body is read and dropped after the deadline or an early answer") {
    for (const bool is_early : {false, true}) {
        for (const auto& way : all_ways) {
            CAPTURE(is_early);
            CAPTURE(way.target_machine);
            CAPTURE(way.is_chunked);
            upload_site uploads(way.target_machine, 1s);
            uploads.target->answers_early = is_early;
            const auto client = uploads.upload(body_size, way.is_chunked);
            REQUIRE(uploads.site.run_until([&] { return client->is_answered(); }));
            CHECK(client->received.starts_with(is_early ? "HTTP/1.1 200" : "HTTP/1.1 504"));
            REQUIRE(uploads.site.run_until([&] { return client->is_sent(); }));
            client->write("GET /read/next HTTP/1.1\r\nhost: h\r\nid: next\r\n\r\n");
            REQUIRE(uploads.site.run_until([&] { return client->is_answered(2); }));
            CHECK(client->received.rfind("HTTP/1.1 200") > 0);
            CHECK_FALSE(client->is_ended);
        }
    }
}
