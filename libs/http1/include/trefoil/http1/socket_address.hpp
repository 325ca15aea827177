// Socket addresses of endpoints.
#pragma once

#include <sys/socket.h>

#include <trefoil/base/endpoint.hpp>

namespace trefoil::http1 {

/// Converts an IPv4 or IPv6 address and a port to a socket address. Returns its length, or 0 if the
/// IP address is malformed.
socklen_t to_sockaddr(const endpoint& from, sockaddr_storage& out);

} // namespace trefoil::http1
