// Decides for which services expected work is used.
#pragma once

#include <cstdint>

namespace trefoil {

/// With fewer slots than this, one request takes a noticeable part of an instance.
inline constexpr std::uint32_t few_slots = 16;

/// True if requests to a service are placed and admitted by their expected work: its instances
/// declare few slots, or the configuration lists workspaces.
constexpr bool uses_expected_work(std::uint32_t declared_slots, bool has_workspaces) {
    return has_workspaces || declared_slots < few_slots;
}

} // namespace trefoil
