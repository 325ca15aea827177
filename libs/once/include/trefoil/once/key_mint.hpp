// Issues and checks the idempotency keys of one run of a node.
#pragma once

#include <string>

#include <trefoil/once/idempotency_key.hpp>
#include <trefoil/wire/http_message.hpp>

namespace trefoil {

/// A digest of who sends what: caller, service, method, path and body, and a name.
std::string request_digest(const std::string& secret, const std::string& name,
                           const http_request& request);

/// Makes keys whose code is HMAC-SHA-256 (RFC 2104), cut to 128 bits, over the key's own fields,
/// the caller and the whole request. Issuing a key stores nothing.
class key_mint {
public:
    /// The secret belongs to this run alone and is never sent.
    key_mint(std::string secret, endpoint owner, incarnation_id incarnation)
        : secret_(std::move(secret)), owner_(std::move(owner)), incarnation_(incarnation) {}

    /// A new key for the request; numbers rise from 1.
    idempotency_key issue(time_point now, const http_request& request);

    /// True if this run issued the key, to the same caller and for the same request.
    bool verify(const idempotency_key& key, const http_request& request) const;

private:
    key_mac code_of(const idempotency_key& key, const http_request& request) const;

    std::string secret_;
    endpoint owner_;
    incarnation_id incarnation_;
    std::uint64_t last_number_ = 0;
};

} // namespace trefoil
