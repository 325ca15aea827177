#include <trefoil/workspace/credentials.hpp>

#include <algorithm>
#include <cctype>

namespace trefoil {
namespace {

bool equals_lower_case(std::string_view text, std::string_view lower_case) {
    return std::equal(text.begin(), text.end(), lower_case.begin(), lower_case.end(),
                      [](unsigned char left, char right) { return std::tolower(left) == right; });
}

} // namespace

bool is_valid_key(std::string_view key) {
    constexpr char first_visible = '!';
    constexpr char last_visible = '~';
    return !key.empty() && key.size() <= max_key_bytes &&
           std::all_of(key.begin(), key.end(),
                       [](char c) { return c >= first_visible && c <= last_visible; });
}

std::string_view name_of(credentials_error error) {
    switch (error) {
    case credentials_error::missing:
        return "no_key";
    case credentials_error::malformed:
        return "bad_key";
    case credentials_error::unknown:
        return "unknown_key";
    }
    return "unknown";
}

std::variant<std::string_view, credentials_error>
read_key(const credentials_format& format, const std::vector<http_header>& headers) {
    const auto is_credentials = [&](const http_header& field) {
        return field.name == format.field;
    };
    const auto found = std::find_if(headers.begin(), headers.end(), is_credentials);
    if (found == headers.end()) {
        return credentials_error::missing;
    }
    if (std::find_if(std::next(found), headers.end(), is_credentials) != headers.end()) {
        return credentials_error::malformed;
    }
    const std::string_view value = found->value;
    const auto scheme = value.substr(0, value.find(' '));
    const auto key_at = value.find_first_not_of(' ', scheme.size());
    if (!equals_lower_case(scheme, format.scheme) || key_at == std::string_view::npos) {
        return credentials_error::malformed;
    }
    const auto key = value.substr(key_at);
    if (!is_valid_key(key)) {
        return credentials_error::malformed;
    }
    return key;
}

std::string challenge_for(const credentials_format& format, credentials_error error) {
    switch (error) {
    case credentials_error::missing:
        break;
    case credentials_error::malformed:
        return format.scheme + " error=\"invalid_request\"";
    case credentials_error::unknown:
        return format.scheme + " error=\"invalid_token\"";
    }
    return format.scheme;
}

} // namespace trefoil
