// Number of a target's slots that are used for concurrent requests.
#pragma once

#include <cstdint>

namespace trefoil {

/// Returns the concurrency limit for a target with this number of slots, at least 1. One slot in
/// twenty is left free, since the throughput of an overloaded target may fall when its last slots
/// are used.
std::uint32_t usable_slots(std::uint32_t slots);

} // namespace trefoil
