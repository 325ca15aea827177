// The idempotency key that a node gives to a caller.
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

/// Length of a message authentication code in bytes.
inline constexpr std::size_t key_mac_bytes = 16;
using key_mac = std::array<std::uint8_t, key_mac_bytes>;

/// Names one run of one node, a number within it, and proves by its code that this run issued it
/// to one caller for one request.
struct idempotency_key {
    /// Peer address of the node that issued the key.
    endpoint owner;
    incarnation_id incarnation;
    std::uint64_t number = 0;
    /// When it was issued, on the owner's clock.
    time_point issued;
    key_mac mac{};

    friend bool operator==(const idempotency_key&, const idempotency_key&) = default;
};

/// The key as the value of an Idempotency-Key header.
std::string to_string(const idempotency_key& key);

/// Reads a key in the form that to_string writes. Nothing for any other text, such as a key that a
/// caller made itself.
std::optional<idempotency_key> parse_idempotency_key(std::string_view text);

} // namespace trefoil
