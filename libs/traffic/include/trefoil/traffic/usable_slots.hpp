// How many of a target's slots are used.
#pragma once

#include <cstdint>

namespace trefoil {

/// The slots that are given work at once, at least 1. Targets may slow down when they are nearly
/// full, so one in twenty is left free. Answers a target under more load than it can take, whose
/// throughput falls when the last slots are used.
std::uint32_t usable_slots(std::uint32_t slots);

} // namespace trefoil
