// Hashes that mean the same in every process of the fleet.
#pragma once

#include <cstdint>
#include <string_view>

namespace trefoil {

/// The 64-bit XXH3 hash of the bytes; the same on every machine.
std::uint64_t stable_hash(std::string_view bytes, std::uint64_t seed = 0);

/// Mixes two hashes into one; the order counts.
std::uint64_t mix_hash(std::uint64_t first, std::uint64_t second);

} // namespace trefoil
