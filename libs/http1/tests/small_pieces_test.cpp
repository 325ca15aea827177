// Bytes that come in many small pieces.
#include <doctest/doctest.h>

#include <memory>
#include <string>

#include <netinet/in.h>
#include <uv.h>

#include <trefoil/http1/tcp_stream.hpp>

#include "heap_bytes.hpp"

using namespace trefoil;
using namespace trefoil::http1;

namespace {

/// Two ends of a connection on a loop of their own. The accepted end does not read until it is told
/// to.
struct connected_pair {
    uv_loop_t loop{};
    uv_tcp_t listener{};
    std::unique_ptr<tcp_stream> writer;
    std::unique_ptr<tcp_stream> reader;
    std::string received;

    connected_pair() {
        uv_loop_init(&loop);
        uv_tcp_init(&loop, &listener);
        listener.data = this;
        sockaddr_in address{};
        uv_ip4_addr("127.0.0.1", 0, &address);
        REQUIRE(uv_tcp_bind(&listener, reinterpret_cast<sockaddr*>(&address), 0) == 0);
        REQUIRE(uv_listen(reinterpret_cast<uv_stream_t*>(&listener), 1, on_connection) == 0);
        int length = sizeof(address);
        uv_tcp_getsockname(&listener, reinterpret_cast<sockaddr*>(&address), &length);
        writer = tcp_stream::connect(&loop, {"127.0.0.1", ntohs(address.sin_port)}, {});
        while (reader == nullptr || !writer->is_connected()) {
            uv_run(&loop, UV_RUN_ONCE);
        }
    }
    ~connected_pair() {
        writer.reset();
        reader.reset();
        uv_close(reinterpret_cast<uv_handle_t*>(&listener), nullptr);
        uv_run(&loop, UV_RUN_DEFAULT);
        uv_loop_close(&loop);
    }
    connected_pair(const connected_pair&) = delete;
    connected_pair& operator=(const connected_pair&) = delete;

    static void on_connection(uv_stream_t* listener, int) {
        auto* self = static_cast<connected_pair*>(listener->data);
        self->reader = tcp_stream::accept(
            &self->loop, listener,
            {{}, [self](std::string_view bytes) { self->received += bytes; }, {}, {}});
        self->reader->pause_reading();
    }
};

} // namespace

TEST_CASE("one-byte pieces cost about their bytes while they wait") {
    constexpr std::size_t max_unsent = 128U << 10U;
    connected_pair pair;
    while (pair.writer->unsent_bytes() == 0) {
        pair.writer->write(std::string(1U << 20U, 'x'));
    }
    // The first write stays as it is; the pieces wait behind it.
    const auto first = pair.writer->unsent_bytes();
    const auto before = heap_bytes();
    std::string pieces;
    while (pair.writer->unsent_bytes() - first < max_unsent) {
        const std::string piece(1, static_cast<char>('a' + pieces.size() % 26));
        pair.writer->write(piece);
        pieces += piece;
    }
    CHECK(heap_bytes() - before - pieces.capacity() < 2 * max_unsent + 4096);
    pair.reader->resume_reading();
    while (pair.writer->unsent_bytes() > 0 || !pair.received.ends_with(pieces)) {
        REQUIRE(uv_run(&pair.loop, UV_RUN_ONCE) != 0);
    }
    CHECK(pair.received.ends_with(pieces));
}
