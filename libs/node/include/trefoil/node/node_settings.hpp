// Settings of a node process.
#pragma once

#include <trefoil/core/node_core.hpp>
#include <trefoil/settings/option_set.hpp>

namespace trefoil {

/// Settings of a node, as read from command-line flags and environment variables. The help texts in
/// declare_options() describe each of them.
struct node_settings {
    std::string instance;
    std::string service;
    std::string domain;
    std::string region;
    std::optional<endpoint> caller_listener;
    std::optional<endpoint> app_listener;
    std::optional<endpoint> peer_listener;
    std::optional<endpoint> control_listener;
    std::optional<endpoint> admin_listener;
    std::optional<endpoint> target;
    std::optional<endpoint> platform;
    std::uint64_t slots = 64;
    std::uint64_t connections = 256;
    double queue_per_slot = 1.0;
    double recovery_speed = admission_settings{}.recovery_speed;
    duration drain_limit = 30s;
    std::uint64_t max_body_bytes = 16'000'000;
    std::uint64_t planned_nodes = 100;
    bool check_only = false;
};

/// Declares the options of a node. `settings` receives the values and must outlive `options`.
void declare_options(option_set& options, node_settings& settings);

/// Length in bytes of the secret that a node generates at each start for its idempotency keys.
inline constexpr std::size_t key_secret_bytes = 32;

/// Returns the settings of the core. `random` is a random number from which the incarnation and the
/// seed are derived; `key_secret` is the secret of this incarnation.
core_settings to_core_settings(const node_settings& settings, std::uint64_t random,
                               std::string key_secret);

} // namespace trefoil
