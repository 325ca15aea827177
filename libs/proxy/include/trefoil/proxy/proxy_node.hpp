// Proxy process beside a target that obtains routes and instances from a platform's registry.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <trefoil/proxy/proxy_settings.hpp>
#include <trefoil/proxy/registry.hpp>

struct uv_loop_s;

namespace trefoil {

/// Access to the registry and the settings, provided by the adapter of the platform.
struct platform_access {
    std::unique_ptr<registry_client> registry;
    /// Reads the settings again. Called on SIGHUP and periodically.
    std::function<absl::StatusOr<proxy_settings>()> reload;
};

/// Owns the listeners, the registry client, the signal handlers and the graceful shutdown of a
/// proxy. Uses one event loop on one thread.
class proxy_node {
public:
    /// `seed` determines all random choices. It must differ between the starts of a process.
    proxy_node(uv_loop_s* loop, proxy_settings settings, platform_access sources,
               std::uint64_t seed);
    ~proxy_node();
    proxy_node(const proxy_node&) = delete;
    proxy_node& operator=(const proxy_node&) = delete;

    /// Opens the listeners and starts reading the registry.
    absl::Status open();

    /// Runs until the node has stopped and returns the exit code.
    int run();

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace trefoil
