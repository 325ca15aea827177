// Order in which requests are shed under overload.
#pragma once

#include <cstdint>

#include <trefoil/base/hash.hpp>
#include <trefoil/base/ids.hpp>

namespace trefoil {

/// Number of positions within one priority.
inline constexpr std::uint32_t positions_per_priority = 256;
/// A threshold that admits every request.
inline constexpr std::uint32_t admit_all = 10 * positions_per_priority;

/// A request's position in the order of shedding: its priority, then a hash of its id, so that all
/// calls of one whole request have the same position at every node. Requests at or above a node's
/// threshold are refused.
inline std::uint32_t admission_position(std::uint32_t priority, const request_id& request) {
    const auto hash = mix_hash(request.high, request.low);
    return priority * positions_per_priority +
           static_cast<std::uint32_t>(hash % positions_per_priority);
}

} // namespace trefoil
