// Derives the parent and the request bucket of a request from its id.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include <trefoil/base/hash.hpp>

namespace trefoil {

/// Separates the id of a call from the id of the request that made it.
inline constexpr char call_separator = '.';
/// Number of request buckets, which are numbered from 0.
inline constexpr std::uint32_t request_bucket_count = 128;

/// Returns the id of the request that made the call, or nothing for a caller's own request (the
/// root of a call tree).
inline std::optional<std::string> parent_request_id(std::string_view request_id) {
    const auto at = request_id.rfind(call_separator);
    if (at == std::string_view::npos || at == 0) {
        return std::nullopt;
    }
    return std::string(request_id.substr(0, at));
}

/// Returns the request bucket of the whole request that a call belongs to: a hash of its id. All
/// calls of one call tree have the same bucket at every node, so that load shedding drops few whole
/// requests instead of some calls of each.
inline std::uint32_t request_bucket_of(std::string_view request_id) {
    const auto root = request_id.substr(0, request_id.find(call_separator));
    return static_cast<std::uint32_t>(stable_hash(root) % request_bucket_count);
}

} // namespace trefoil
