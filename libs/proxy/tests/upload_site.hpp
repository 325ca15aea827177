// Two machines whose targets read request bodies only when the test says so.
#pragma once

#include <algorithm>
#include <csignal>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <fmt/format.h>

#include <trefoil/http1/loop_timer.hpp>
#include <trefoil/http1/message_parser.hpp>
#include <trefoil/http1/tcp_stream.hpp>

#include "two_machine_site.hpp"

namespace trefoil {

/// Returns a part of a body, so made that lost or moved bytes are seen.
inline std::string body_part(std::size_t from, std::size_t count) {
    constexpr std::size_t period = 65521;
    static const std::string bytes = [] {
        std::string made;
        for (std::size_t i = 0; i < period; ++i) {
            made += static_cast<char>((i * 7 + i / 251) & 0xffU);
        }
        return made;
    }();
    std::string made;
    while (made.size() < count) {
        made += bytes.substr((from + made.size()) % period, count - made.size());
    }
    return made;
}

/// A target that stops reading when the head of a request with a body has arrived. It answers whole
/// requests, except those whose path contains `hang` while it is told to hang.
class slow_target {
public:
    slow_target(uv_loop_t* loop, const endpoint& where) : listener_(new uv_tcp_t) {
        uv_tcp_init(loop, listener_);
        listener_->data = this;
        sockaddr_in address{};
        uv_ip4_addr(where.ip.c_str(), where.port, &address);
        REQUIRE(uv_tcp_bind(listener_, reinterpret_cast<const sockaddr*>(&address), 0) == 0);
        REQUIRE(uv_listen(reinterpret_cast<uv_stream_t*>(listener_), 1024,
                          [](uv_stream_t* listener, int) {
                              static_cast<slow_target*>(listener->data)->accept(listener);
                          }) == 0);
    }
    ~slow_target() {
        uv_close(reinterpret_cast<uv_handle_t*>(listener_),
                 [](uv_handle_t* handle) { delete reinterpret_cast<uv_tcp_t*>(handle); });
    }
    slow_target(const slow_target&) = delete;
    slow_target& operator=(const slow_target&) = delete;

    /// Reads on from all connections, and from later ones without a stop.
    void read_on() {
        stops_at_bodies = false;
        for (const auto& each : connections_) {
            if (each->stream != nullptr) {
                each->stream->resume_reading();
            }
        }
    }
    /// Answers the requests that hang.
    void answer_hanging() {
        hangs = false;
        for (const auto& each : connections_) {
            if (std::exchange(each->is_hanging, false)) {
                answer(*each);
            }
        }
    }

    bool stops_at_bodies = true;
    bool hangs = false;
    /// Answers requests with a body before it is read.
    bool answers_early = false;
    int heads_with_body = 0;
    int hanging = 0;
    /// Length of the body that was received last, and whether all its bytes were right.
    std::size_t body_bytes = 0;
    bool is_body_right = true;
    int whole_bodies = 0;
    /// Connections that the node has closed or reset.
    int ended_connections = 0;

private:
    struct connection_state {
        std::unique_ptr<http1::tcp_stream> stream;
        http1::request_parser parser{65536};
        std::string id;
        std::string path;
        bool has_body = false;
        bool is_hanging = false;
    };

    void accept(uv_stream_t* listener) {
        auto made = std::make_unique<connection_state>();
        auto* state = made.get();
        made->stream = http1::tcp_stream::accept(
            listener->loop, listener,
            {{},
             [this, state](std::string_view bytes) { read(*state, bytes); },
             [this, state](http1::close_reason) {
                 ++ended_connections;
                 state->stream.reset();
             },
             {}});
        connections_.push_back(std::move(made));
    }

    void read(connection_state& from, std::string_view bytes) {
        std::vector<http1::request_event> events;
        from.parser.feed(bytes, events);
        for (const auto& event : events) {
            std::visit(overloaded{[&](const http1::request_head& head) { take(from, head); },
                                  [&](const http1::body_piece& piece) { take(piece.bytes); },
                                  [&](const http1::message_end&) { end(from); },
                                  [](http1::parse_failure) { FAIL_CHECK("no HTTP"); }},
                       event);
        }
    }

    void take(connection_state& from, const http1::request_head& head) {
        from.id = std::string(find_header(head.headers, "id"));
        from.path = head.target;
        from.has_body = head.framing != http1::body_framing::none;
        if (!from.has_body) {
            return;
        }
        ++heads_with_body;
        body_bytes = 0;
        is_body_right = true;
        if (stops_at_bodies) {
            from.stream->pause_reading();
        }
        if (answers_early) {
            answer(from);
        }
    }

    void take(const std::string& bytes) {
        is_body_right = is_body_right && bytes == body_part(body_bytes, bytes.size());
        body_bytes += bytes.size();
    }

    void end(connection_state& from) {
        whole_bodies += from.has_body ? 1 : 0;
        from.is_hanging = hangs && from.path.find("hang") != std::string::npos;
        hanging += from.is_hanging ? 1 : 0;
        if (!from.is_hanging && !(from.has_body && answers_early)) {
            answer(from);
        }
    }

    static void answer(connection_state& to) {
        to.stream->write(fmt::format(
            "HTTP/1.1 200 OK\r\nid: {}\r\nstamp: s\r\ncontent-length: 4\r\n\r\ndone", to.id));
    }

    uv_tcp_t* listener_;
    std::vector<std::unique_ptr<connection_state>> connections_;
};

/// A client that sends a body as fast as it is taken.
class uploader {
public:
    uploader(uv_loop_t* loop, const endpoint& to, const std::string& id, std::size_t size,
             bool is_chunked)
        : size_(size), is_chunked_(is_chunked),
          stream_(http1::tcp_stream::connect(
              loop, to,
              {[this] { send_more(); }, [this](std::string_view bytes) { received.append(bytes); },
               [this](http1::close_reason) { is_ended = true; }, [this] { send_more(); }})) {
        head_ = fmt::format("POST /write/{} HTTP/1.1\r\nhost: h\r\nid: {}\r\n{}\r\n\r\n", id, id,
                            is_chunked ? std::string("transfer-encoding: chunked")
                                       : fmt::format("content-length: {}", size));
    }

    /// Bytes of the body that the connection has taken.
    std::size_t taken() const { return sent_ - std::min(sent_, stream_->unsent_bytes()); }
    std::size_t unsent_bytes() const { return stream_->unsent_bytes(); }
    bool is_sent() const { return sent_ == size_ && stream_->unsent_bytes() == 0; }
    bool is_answered(int count = 1) const {
        int found = 0;
        for (auto at = received.find("HTTP/1.1 "); at != std::string::npos;
             at = received.find("HTTP/1.1 ", at + 1)) {
            ++found;
        }
        return found >= count;
    }
    void write(std::string bytes) { stream_->write(std::move(bytes)); }
    void leave() {
        stream_->reset();
        stream_.reset();
    }

    std::string received;
    bool is_ended = false;

private:
    void send_more() {
        stream_->write(std::exchange(head_, {}));
        while (sent_ < size_ && stream_->unsent_bytes() == 0) {
            const auto count = std::min<std::size_t>(256U << 10U, size_ - sent_);
            auto bytes = body_part(sent_, count);
            sent_ += count;
            if (is_chunked_) {
                bytes = http1::to_chunk(bytes);
                bytes += sent_ == size_ ? http1::last_chunk : "";
            }
            stream_->write(std::move(bytes));
        }
    }

    std::string head_;
    std::size_t size_;
    bool is_chunked_;
    std::size_t sent_ = 0;
    std::unique_ptr<http1::tcp_stream> stream_;
};

/// Two machines; only the target of the given machine is listed. Callers are on machine 0.
struct upload_site {
    two_machine_site site;
    std::unique_ptr<slow_target> target;

    explicit upload_site(std::size_t target_machine, duration timeout = 8s, std::uint32_t slots = 4)
        : site(slots) {
        // Writing to a connection that the node has closed must not end the test.
        std::signal(SIGPIPE, SIG_IGN);
        site.targets[target_machine].reset();
        target = std::make_unique<slow_target>(&site.loop,
                                               endpoint{site.ip(target_machine), site.target_port});
        const instance_id other("i" + std::to_string(1 - target_machine));
        auto config = site.config(2);
        for (auto& entry : config.routes) {
            entry.timeout = timeout;
            entry.target_latency = timeout;
        }
        for (const std::size_t machine : {0U, 1U}) {
            site.change({config, instance_removed{other}}, machine);
        }
    }

    std::unique_ptr<uploader> upload(std::size_t size, bool is_chunked = false) {
        return std::make_unique<uploader>(&site.loop, endpoint{site.ip(0), site.caller_port},
                                          fmt::format("up-{}", ++uploads), size, is_chunked);
    }

    /// Runs until the client's connection has taken nothing more for a while.
    void run_until_stalled(const uploader& client) {
        auto taken = client.taken();
        auto since = uv_hrtime();
        site.run_until([&] {
            if (client.taken() != taken) {
                taken = client.taken();
                since = uv_hrtime();
            }
            return client.is_sent() || uv_hrtime() - since > 400'000'000ULL;
        });
    }
    void run_for(duration time) {
        const auto end = http1::loop_time(&site.loop) + time;
        http1::loop_timer ticks(&site.loop, [] {});
        ticks.start_repeating(10ms);
        site.run_until([&] { return http1::loop_time(&site.loop) >= end; });
    }

    int uploads = 0;
};

} // namespace trefoil
