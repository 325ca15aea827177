// The C headers of h2o for use with libuv, and conversions for their types.
#pragma once

#include <uv.h>

// The C headers of h2o cause warnings with the warning flags of this project.
#pragma GCC diagnostic push
#pragma GCC diagnostic ignored "-Wpedantic"
#pragma GCC diagnostic ignored "-Wunused-parameter"
#pragma GCC diagnostic ignored "-Wsign-compare"
extern "C" {
#include <h2o.h>
#include <h2o/http1.h>
#include <h2o/http1client.h>
#include <h2o/http2.h>
}
#pragma GCC diagnostic pop

#include <string_view>

namespace trefoil {

inline std::string_view to_view(const h2o_iovec_t& text) {
    return {text.base, text.len};
}

/// Converts an IPv4 or IPv6 address and a port to a socket address. Returns its length, or 0 if the
/// IP address is malformed.
inline socklen_t to_sockaddr(const std::string& ip, int port, sockaddr_storage& out) {
    out = {};
    if (uv_ip4_addr(ip.c_str(), port, reinterpret_cast<sockaddr_in*>(&out)) == 0) {
        return sizeof(sockaddr_in);
    }
    if (uv_ip6_addr(ip.c_str(), port, reinterpret_cast<sockaddr_in6*>(&out)) == 0) {
        return sizeof(sockaddr_in6);
    }
    return 0;
}

} // namespace trefoil
