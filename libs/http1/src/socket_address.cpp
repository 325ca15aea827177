#include <trefoil/http1/socket_address.hpp>

#include <uv.h>

namespace trefoil::http1 {

socklen_t to_sockaddr(const endpoint& from, sockaddr_storage& out) {
    out = {};
    if (uv_ip4_addr(from.ip.c_str(), from.port, reinterpret_cast<sockaddr_in*>(&out)) == 0) {
        return sizeof(sockaddr_in);
    }
    if (uv_ip6_addr(from.ip.c_str(), from.port, reinterpret_cast<sockaddr_in6*>(&out)) == 0) {
        return sizeof(sockaddr_in6);
    }
    return 0;
}

} // namespace trefoil::http1
