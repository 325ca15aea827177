// Network addresses: IP address and TCP port.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include <absl/status/statusor.h>

namespace trefoil {

/// An IPv4 or IPv6 address in text form and a TCP port.
struct endpoint {
    std::string ip;
    std::uint16_t port = 0;

    friend bool operator==(const endpoint&, const endpoint&) = default;
    friend auto operator<=>(const endpoint&, const endpoint&) = default;
};

/// Parses `IP:PORT` or `[IPv6]:PORT`. Host names are not resolved. Fails with
/// base_failure::bad_endpoint.
absl::StatusOr<endpoint> parse_endpoint(std::string_view text);

/// Formats the endpoint in the form that parse_endpoint() accepts.
std::string to_string(const endpoint& where);

} // namespace trefoil
