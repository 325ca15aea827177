// Addresses of processes: an IP number and a port.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include <absl/status/statusor.h>

namespace trefoil {

/// An IPv4 or IPv6 number with a TCP port.
struct endpoint {
    std::string ip;
    std::uint16_t port = 0;

    friend bool operator==(const endpoint&, const endpoint&) = default;
    friend auto operator<=>(const endpoint&, const endpoint&) = default;
};

/// Reads `IP:PORT` or `[IPv6]:PORT`. Names are not resolved. Fails with
/// base_failure::bad_endpoint.
absl::StatusOr<endpoint> parse_endpoint(std::string_view text);

/// Writes the endpoint as parse_endpoint reads it.
std::string to_string(const endpoint& where);

} // namespace trefoil
