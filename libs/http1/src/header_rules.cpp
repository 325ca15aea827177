#include <trefoil/http1/header_rules.hpp>

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

namespace {

/// True for the fields of is_hop_by_hop() except host, date and server.
bool is_connection_specific(std::string_view name) {
    static constexpr std::array<std::string_view, 10> names = {
        "connection",     "keep-alive",    "proxy-connection", "te",
        "trailer",        "upgrade",       "expect",           "transfer-encoding",
        "content-length", "http2-settings"};
    return std::find(names.begin(), names.end(), name) != names.end();
}

/// Returns the lower-case names listed in the Connection fields, each between two commas.
std::string connection_options(const std::vector<http_header>& headers) {
    std::string options = ",";
    for (const auto& field : headers) {
        if (field.name != "connection") {
            continue;
        }
        for (const unsigned char c : field.value) {
            if (c != ' ' && c != '\t') {
                options += static_cast<char>(std::tolower(c));
            }
        }
        options += ',';
    }
    return options;
}

} // namespace

std::vector<http_header> end_to_end_headers(const std::vector<http_header>& headers) {
    const auto options = connection_options(headers);
    std::vector<http_header> forwarded;
    forwarded.reserve(headers.size() + 4);
    for (const auto& field : headers) {
        const bool is_listed =
            options.size() > 1 && options.find("," + field.name + ",") != std::string::npos;
        if (!is_connection_specific(field.name) && !is_listed) {
            forwarded.push_back(field);
        }
    }
    return forwarded;
}

void set_header(std::vector<http_header>& headers, std::string_view name, std::string value) {
    std::erase_if(headers, [&](const http_header& field) { return field.name == name; });
    headers.push_back({std::string(name), std::move(value)});
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
