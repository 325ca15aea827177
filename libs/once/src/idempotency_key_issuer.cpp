#include <trefoil/once/idempotency_key_issuer.hpp>

#include <algorithm>

#include <fmt/format.h>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>

namespace trefoil {
namespace {

/// Appends a field with its length in front, which keeps adjacent fields apart.
void append_field(std::string& text, std::string_view field) {
    text += fmt::format("{}:", field.size());
    text += field;
}

} // namespace

std::string request_digest(const std::string& secret, const std::string& name,
                           const http_request& request) {
    std::string text;
    text.reserve(name.size() + request.path.size() + request.body.size() + 256);
    append_field(text, name);
    append_field(text, request.caller);
    append_field(text, request.service.str());
    append_field(text, request.method);
    append_field(text, request.path);
    append_field(text, request.body);
    std::uint8_t digest[EVP_MAX_MD_SIZE];
    unsigned int length = 0;
    HMAC(EVP_sha256(), secret.data(), static_cast<int>(secret.size()),
         reinterpret_cast<const std::uint8_t*>(text.data()), text.size(), digest, &length);
    return {reinterpret_cast<const char*>(digest), length};
}

idempotency_key idempotency_key_issuer::issue(time_point now, const http_request& request) {
    idempotency_key key{owner_, incarnation_, ++last_number_, now, {}};
    key.mac = compute_mac(key, request);
    return key;
}

bool idempotency_key_issuer::verify(const idempotency_key& key, const http_request& request) const {
    if (key.owner != owner_ || key.incarnation != incarnation_) {
        return false;
    }
    const auto expected = compute_mac(key, request);
    return CRYPTO_memcmp(expected.data(), key.mac.data(), expected.size()) == 0;
}

key_mac idempotency_key_issuer::compute_mac(const idempotency_key& key,
                                            const http_request& request) const {
    auto without_mac = key;
    without_mac.mac = {};
    const auto digest = request_digest(secret_, to_string(without_mac), request);
    key_mac mac{};
    std::copy_n(digest.begin(), mac.size(), mac.begin());
    return mac;
}

} // namespace trefoil
