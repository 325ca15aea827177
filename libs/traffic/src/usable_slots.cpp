#include <trefoil/traffic/usable_slots.hpp>

#include <algorithm>

namespace trefoil {

std::uint32_t usable_slots(std::uint32_t slots) {
    /// One of this many slots is left free, rounded up.
    constexpr std::uint32_t slots_per_spare = 20;
    const auto spare = (slots + slots_per_spare - 1) / slots_per_spare;
    return std::max(slots, spare + 1) - spare;
}

} // namespace trefoil
