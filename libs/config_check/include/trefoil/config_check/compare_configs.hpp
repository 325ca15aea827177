// Compares a configuration with the one in force.
#pragma once

#include <cstdint>

#include <trefoil/config_check/finding.hpp>
#include <trefoil/traffic/traffic_config.hpp>

namespace trefoil {

/// Returns the differences and what each changes for callers. A difference that takes something
/// away from them is a warning; a version that running nodes ignore is an error. Routes are
/// compared by host and prefix; shadowed ones are left out.
///
/// Keys are named by digests: with the same `key_salt`, equal keys have equal digests.
findings compare_configs(const traffic_config& before, const traffic_config& after,
                         std::uint64_t key_salt);

} // namespace trefoil
