// Issues and verifies the idempotency keys of one incarnation of a node.
#pragma once

#include <string>

#include <trefoil/once/idempotency_key.hpp>
#include <trefoil/wire/http_message.hpp>

namespace trefoil {

/// Returns the HMAC-SHA-256 (RFC 2104), keyed with the secret, of a name and the request's caller,
/// service, method, path and body, as 32 raw bytes.
std::string request_digest(const std::string& secret, const std::string& name,
                           const http_request& request);

/// Issues keys whose message authentication code is HMAC-SHA-256 (RFC 2104), truncated to 128 bits,
/// over the key's other fields, the caller and the whole request. Issuing a key stores nothing;
/// verification computes the code again.
class idempotency_key_issuer {
public:
    /// The secret belongs to this incarnation alone and is never sent. The owner is the peer
    /// address of the node.
    idempotency_key_issuer(std::string secret, endpoint owner, incarnation_id incarnation)
        : secret_(std::move(secret)), owner_(std::move(owner)), incarnation_(incarnation) {}

    /// Issues a new key for the request. The numbers of the keys start at 1 and increase by 1.
    idempotency_key issue(time_point now, const http_request& request);

    /// Returns true if this incarnation issued the key to the same caller for the same request.
    bool verify(const idempotency_key& key, const http_request& request) const;

private:
    key_mac compute_mac(const idempotency_key& key, const http_request& request) const;

    std::string secret_;
    endpoint owner_;
    incarnation_id incarnation_;
    std::uint64_t last_number_ = 0;
};

} // namespace trefoil
