#include <trefoil/base/endpoint.hpp>

#include <arpa/inet.h>
#include <charconv>

#include <fmt/format.h>

#include <trefoil/base/error.hpp>

namespace trefoil {
namespace {

bool is_ip_address(const std::string& text) {
    in6_addr parsed{};
    return inet_pton(AF_INET, text.c_str(), &parsed) == 1 ||
           inet_pton(AF_INET6, text.c_str(), &parsed) == 1;
}

absl::Status bad_endpoint(std::string_view text) {
    return make_error(
        base_failure::bad_endpoint,
        fmt::format("'{}' is not IP:PORT with an IP address and a port number from 1 to 65535",
                    text));
}

} // namespace

absl::StatusOr<endpoint> parse_endpoint(std::string_view text) {
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return bad_endpoint(text);
    }
    std::string ip(text.substr(0, colon));
    if (ip.size() > 2 && ip.front() == '[' && ip.back() == ']') {
        ip = ip.substr(1, ip.size() - 2);
    }
    const auto digits = text.substr(colon + 1);
    std::uint16_t port = 0;
    const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), port);
    const bool is_valid_port =
        error == std::errc{} && end == digits.data() + digits.size() && port != 0;
    if (!is_valid_port || !is_ip_address(ip)) {
        return bad_endpoint(text);
    }
    return endpoint{std::move(ip), port};
}

std::string to_string(const endpoint& where) {
    const bool is_v6 = where.ip.find(':') != std::string::npos;
    return is_v6 ? fmt::format("[{}]:{}", where.ip, where.port)
                 : fmt::format("{}:{}", where.ip, where.port);
}

} // namespace trefoil
