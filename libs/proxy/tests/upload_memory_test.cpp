// Memory of many long request bodies beside targets that read slowly.
#include <doctest/doctest.h>

#include <algorithm>
#include <memory>
#include <vector>

#include "heap_bytes.hpp"
#include "upload_site.hpp"

using namespace trefoil;

TEST_CASE("many uploads to slow workers together stay within the memory of the process") {
    constexpr std::size_t count = 150;
    constexpr std::size_t size = 4U << 20U;
    // Less than the bounds of two nodes allow, since most of a body waits at one of them.
    constexpr std::size_t max_bytes = 45U << 20U;
    upload_site uploads(1, 8s, 2 * count);
    const auto before = heap_bytes();
    std::vector<std::unique_ptr<uploader>> clients;
    for (std::size_t i = 0; i < count; ++i) {
        clients.push_back(uploads.upload(size, i % 2 == 0));
    }
    std::size_t most = 0;
    for (int sample = 0; sample < 100; ++sample) {
        uploads.run_for(15ms);
        std::size_t unsent = 0;
        for (const auto& client : clients) {
            unsent += client->unsent_bytes();
        }
        most = std::max(most, heap_bytes() - before - unsent);
    }
    CHECK(uploads.target->heads_with_body == count);
    CAPTURE(most);
    CHECK(most < max_bytes);
    uploads.target->read_on();
    for (const auto& client : clients) {
        REQUIRE(uploads.site.run_until([&] { return client->is_answered(); }));
        CHECK(client->received.starts_with("HTTP/1.1 200"));
    }
}
