#include <trefoil/traffic/usable_slots.hpp>

#include <algorithm>

namespace trefoil {

std::uint32_t usable_slots(std::uint32_t slots) {
    /// One slot in so many is left free, rounded up.
    constexpr std::uint32_t slots_for_a_free_one = 20;
    const auto free = (slots + slots_for_a_free_one - 1) / slots_for_a_free_one;
    return std::max(slots, free + 1) - free;
}

} // namespace trefoil
