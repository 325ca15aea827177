// Hash functions with the same result in every process of the fleet.
#pragma once

#include <cstdint>
#include <string_view>

namespace trefoil {

/// Returns the 64-bit XXH3 hash of the bytes. The result is the same on every machine.
std::uint64_t stable_hash(std::string_view bytes, std::uint64_t seed = 0);

/// Combines two hashes into one. The result depends on their order.
std::uint64_t mix_hash(std::uint64_t first, std::uint64_t second);

} // namespace trefoil
