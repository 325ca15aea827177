// Reads the key that a request carries.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include <trefoil/wire/http_message.hpp>

namespace trefoil {

/// Maximum length of a key in bytes.
inline constexpr std::size_t max_key_bytes = 512;

/// True for a key that can be configured and sent: visible ASCII, not too long.
bool is_valid_key(std::string_view key);

/// Why a request has no usable key.
enum class credentials_error : std::uint8_t {
    /// The request carries no credentials.
    missing,
    /// The credentials are of another scheme, are sent more than once or contain no valid key.
    malformed,
    /// No workspace has the key.
    unknown,
};

std::string_view name_of(credentials_error error);

/// Header field and scheme of credentials, for instance `authorization` and `bearer`, in lower
/// case.
struct credentials_format {
    std::string field;
    std::string scheme;

    friend bool operator==(const credentials_format&, const credentials_format&) = default;
};

/// Returns the key of a request: exactly one field with the scheme, without regard to case, spaces
/// and a valid key (RFC 9110 11.6.2). The view refers to the headers.
std::variant<std::string_view, credentials_error> read_key(const credentials_format& format,
                                                           const std::vector<http_header>& headers);

/// Returns the challenge to send with the refusal of a request (RFC 6750 3).
std::string challenge_for(const credentials_format& format, credentials_error error);

} // namespace trefoil
