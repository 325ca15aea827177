// Peer whose socket is outside the event loop, for tests of slow and of silent peers.
#pragma once

#include <doctest/doctest.h>

#include <array>
#include <cerrno>
#include <chrono>
#include <cstddef>
#include <linux/filter.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <string>
#include <sys/socket.h>
#include <unistd.h>
#include <uv.h>

#include <trefoil/base/endpoint.hpp>
#include <trefoil/base/time.hpp>

#include "loopback_peers.hpp"

namespace trefoil::http1 {

inline void run_for(test_loop& event_loop, std::uint64_t time_ns) {
    const auto end = uv_hrtime() + time_ns;
    event_loop.run_until([&] { return uv_hrtime() >= end; });
}

/// Receive buffer and segment size of a peer. Zero stands for the default of the system.
struct receive_limits {
    int buffer_bytes = 0;
    int segment_bytes = 0;
};

/// A peer on a small device behind an Ethernet link.
inline constexpr receive_limits small_device{8192, 1400};

inline void set_receive_limits(int socket, receive_limits limits) {
    const auto set_option = [&](int level, int option, int value) {
        if (value > 0) {
            REQUIRE(setsockopt(socket, level, option, &value, sizeof(value)) == 0);
        }
    };
    set_option(SOL_SOCKET, SO_RCVBUF, limits.buffer_bytes);
    set_option(IPPROTO_TCP, TCP_MAXSEG, limits.segment_bytes);
}

/// Listens on a port of the loopback address, outside the event loop.
class plain_listener {
public:
    explicit plain_listener(receive_limits limits = {})
        : socket_(::socket(AF_INET, SOCK_STREAM, 0)) {
        set_receive_limits(socket_, limits);
        sockaddr_in address{};
        uv_ip4_addr("127.0.0.1", port_, &address);
        REQUIRE(bind(socket_, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0);
        REQUIRE(listen(socket_, 1) == 0);
    }
    ~plain_listener() { close(socket_); }
    plain_listener(const plain_listener&) = delete;
    plain_listener& operator=(const plain_listener&) = delete;

    endpoint address() const { return {"127.0.0.1", port_}; }
    /// Returns the socket of a connection that waits or is about to come.
    int accept_one() const { return accept(socket_, nullptr, nullptr); }

private:
    std::uint16_t port_ = free_port();
    int socket_;
};

/// A socket outside the event loop whose machine can be made unreachable.
class plain_peer {
public:
    explicit plain_peer(int socket) : socket_(socket) { REQUIRE(socket_ >= 0); }
    ~plain_peer() { close(socket_); }
    plain_peer(const plain_peer&) = delete;
    plain_peer& operator=(const plain_peer&) = delete;

    static int connect_to(const endpoint& to, receive_limits limits = {}) {
        const int made = ::socket(AF_INET, SOCK_STREAM, 0);
        set_receive_limits(made, limits);
        sockaddr_in address{};
        uv_ip4_addr(to.ip.c_str(), to.port, &address);
        REQUIRE(connect(made, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0);
        return made;
    }

    void write(const std::string& bytes) const { REQUIRE(try_write(bytes)); }
    /// Returns false if the connection was reset.
    bool try_write(const std::string& bytes) const {
        return send(socket_, bytes.data(), bytes.size(), MSG_NOSIGNAL) ==
               static_cast<ssize_t>(bytes.size());
    }

    /// How a read ended.
    enum class read_end { none, closed, reset };

    /// Reads what is there, at most `max_bytes`, into received().
    void read(std::size_t max_bytes) {
        std::string buffer(max_bytes, '\0');
        const auto count = recv(socket_, buffer.data(), buffer.size(), MSG_DONTWAIT);
        if (count > 0) {
            received_.append(buffer, 0, static_cast<std::size_t>(count));
        } else if (count == 0) {
            end_ = read_end::closed;
        } else if (errno != EAGAIN) {
            end_ = read_end::reset;
        }
    }
    /// Reads at an even pace until the connection ends, `bytes` have been received since the peer
    /// was made, or ten seconds have elapsed.
    void read_evenly(test_loop& event_loop, std::size_t bytes, double bytes_per_s) {
        const auto began = uv_hrtime();
        const auto before = received_.size();
        while (end_ == read_end::none && received_.size() < bytes &&
               uv_hrtime() - began < max_read_time_ns) {
            const auto read_bytes = static_cast<double>(received_.size() - before);
            const auto due = began + static_cast<std::uint64_t>(read_bytes / bytes_per_s * 1e9);
            event_loop.run_until([&] { return uv_hrtime() >= due; });
            run_for(event_loop, 1'000'000ULL);
            read(bytes_per_read);
        }
    }
    const std::string& received() const { return received_; }
    read_end end() const { return end_; }

    void shut_down_sending() const { shutdown(socket_, SHUT_WR); }

    /// Drops everything that arrives from now on without an acknowledgement.
    void fall_silent() const {
        sock_filter drop{BPF_RET | BPF_K, 0, 0, 0};
        const sock_fprog program{1, &drop};
        REQUIRE(setsockopt(socket_, SOL_SOCKET, SO_ATTACH_FILTER, &program, sizeof(program)) == 0);
    }

private:
    static constexpr std::size_t bytes_per_read = 500;
    static constexpr std::uint64_t max_read_time_ns = 10'000'000'000ULL;

    int socket_;
    std::string received_;
    read_end end_ = read_end::none;
};

} // namespace trefoil::http1
