// The idempotency key that a node issues to a caller, and its text form.
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include <trefoil/base/endpoint.hpp>
#include <trefoil/base/ids.hpp>
#include <trefoil/base/time.hpp>

namespace trefoil {

/// Length of the message authentication code in bytes (HMAC-SHA-256 truncated to 128 bits).
inline constexpr std::size_t key_mac_bytes = 16;
using key_mac = std::array<std::uint8_t, key_mac_bytes>;

/// Identifies one incarnation of one node and a number within it. The message authentication code
/// proves that this incarnation issued the key to one caller for one request.
struct idempotency_key {
    /// Peer address of the node that issued the key.
    endpoint owner;
    incarnation_id incarnation;
    /// Sequence number within the incarnation.
    std::uint64_t number = 0;
    /// Time of issue, on the owner's clock.
    time_point issued;
    key_mac mac{};

    friend bool operator==(const idempotency_key&, const idempotency_key&) = default;
};

/// Formats a key as the value of an Idempotency-Key header.
std::string to_string(const idempotency_key& key);

/// Parses a key in the form that to_string writes. Returns nothing for any other text, such as a
/// key that a caller generated itself.
std::optional<idempotency_key> parse_idempotency_key(std::string_view text);

} // namespace trefoil
