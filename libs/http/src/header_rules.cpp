#include <trefoil/http/header_rules.hpp>

#include <algorithm>
#include <array>

namespace trefoil {

bool is_hop_by_hop(std::string_view name) {
    static constexpr std::array<std::string_view, 13> names = {
        "connection", "keep-alive",     "proxy-connection",
        "te",         "trailer",        "transfer-encoding",
        "upgrade",    "expect",         "content-length",
        "host",       "http2-settings", "date",
        "server"};
    return std::find(names.begin(), names.end(), name) != names.end();
}

std::string_view find_header(const std::vector<http_header>& headers, std::string_view name) {
    const auto found = std::find_if(headers.begin(), headers.end(),
                                    [&](const http_header& field) { return field.name == name; });
    return found == headers.end() ? std::string_view() : std::string_view(found->value);
}

std::vector<http_header> without_header(std::vector<http_header> headers, std::string_view name) {
    std::erase_if(headers, [&](const http_header& field) { return field.name == name; });
    return headers;
}

} // namespace trefoil
