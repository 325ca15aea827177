// A TCP connection on which a test writes bytes that no HTTP library would send.
#pragma once

#include <string>
#include <string_view>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <doctest/doctest.h>

#include <trefoil/base/endpoint.hpp>

namespace trefoil {

/// A blocking TCP connection; the peer is another process. A read times out after 30 s, which is
/// far more than a working system needs.
class raw_connection {
public:
    explicit raw_connection(const endpoint& to) : socket_(::socket(AF_INET, SOCK_STREAM, 0)) {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(to.port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        REQUIRE(::connect(socket_, reinterpret_cast<sockaddr*>(&address), sizeof(address)) == 0);
        const timeval limit{30, 0};
        ::setsockopt(socket_, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
    }

    ~raw_connection() { ::close(socket_); }

    raw_connection(const raw_connection&) = delete;
    raw_connection& operator=(const raw_connection&) = delete;

    /// Writes as many bytes as the peer accepts. Stops without an error if the peer has closed.
    void write(std::string_view bytes) const {
        while (!bytes.empty()) {
            const auto count = ::send(socket_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
            if (count <= 0) {
                return;
            }
            bytes.remove_prefix(static_cast<std::size_t>(count));
        }
    }

    /// Shuts down the write side of the connection.
    void finish_writing() const { ::shutdown(socket_, SHUT_WR); }

    /// Reads until the peer closes the connection or the read times out.
    std::string read_to_end() const {
        std::string text;
        char buffer[4096];
        ssize_t count = 0;
        while ((count = ::recv(socket_, buffer, sizeof(buffer), 0)) > 0) {
            text.append(buffer, static_cast<std::size_t>(count));
        }
        return text;
    }

    /// Makes the destructor close the connection with a reset.
    void reset() const {
        const linger now{1, 0};
        ::setsockopt(socket_, SOL_SOCKET, SO_LINGER, &now, sizeof(now));
    }

private:
    int socket_;
};

} // namespace trefoil
