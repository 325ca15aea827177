#include <trefoil/base/hash.hpp>

#include <xxhash.h>

namespace trefoil {

std::uint64_t stable_hash(std::string_view bytes, std::uint64_t seed) {
    return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

std::uint64_t mix_hash(std::uint64_t first, std::uint64_t second) {
    const std::uint64_t both[] = {first, second};
    return XXH3_64bits(both, sizeof(both));
}

} // namespace trefoil
