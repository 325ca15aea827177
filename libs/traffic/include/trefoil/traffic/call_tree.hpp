// What the ids of requests tell of the whole requests that they belong to.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include <trefoil/base/hash.hpp>

namespace trefoil {

/// Separates the id of a call from that of the request during which it was made.
inline constexpr char call_separator = '.';
/// Shares are numbered from 0 to this, exclusively.
inline constexpr std::uint32_t share_count = 128;

/// The id of the request during which the call was made; nothing for a request of a caller.
inline std::optional<std::string> parent_of(std::string_view request_id) {
    const auto at = request_id.rfind(call_separator);
    if (at == std::string_view::npos || at == 0) {
        return std::nullopt;
    }
    return std::string(request_id.substr(0, at));
}

/// The share of all whole requests that this one belongs to. All calls of one whole request have
/// the same, at every node, so that a shortage meets few whole requests and not a part of each.
inline std::uint32_t share_of(std::string_view request_id) {
    const auto root = request_id.substr(0, request_id.find(call_separator));
    return static_cast<std::uint32_t>(stable_hash(root) % share_count);
}

} // namespace trefoil
