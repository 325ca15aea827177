// A node's settings.
#pragma once

#include <trefoil/core/node_core.hpp>
#include <trefoil/settings/option_set.hpp>

namespace trefoil {

/// What a node is told by its flags and environment.
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

/// Declares a node's flags. The settings must outlive the options.
void declare_options(option_set& options, node_settings& settings);

/// Length in bytes of the secret that a run of a node makes for itself.
inline constexpr std::size_t key_secret_bytes = 32;

/// The core's part of the settings, with a new incarnation and the secret of this run.
core_settings to_core_settings(const node_settings& settings, std::uint64_t random,
                               std::string key_secret);

} // namespace trefoil
