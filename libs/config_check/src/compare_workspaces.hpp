// Compares the workspaces of two configurations.
#pragma once

#include <cstdint>

#include <trefoil/config_check/finding.hpp>
#include <trefoil/traffic/traffic_config.hpp>

namespace trefoil {

/// Adds the differences between the workspaces, first of those in `after`, then of removed ones.
/// `key_salt` is that of the digests of keys.
void compare_workspaces(const traffic_config& before, const traffic_config& after,
                        std::uint64_t key_salt, findings& found);

} // namespace trefoil
