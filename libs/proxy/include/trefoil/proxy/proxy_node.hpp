// The process beside a target that takes routes and instances from a platform's registry.
#pragma once

#include <functional>
#include <memory>

#include <absl/status/status.h>
#include <absl/status/statusor.h>

#include <trefoil/proxy/proxy_settings.hpp>
#include <trefoil/proxy/registry.hpp>

struct uv_loop_s;

namespace trefoil {

/// How a node learns of what the adapter knows.
struct proxy_sources {
    std::unique_ptr<registry_client> registry;
    /// Reads the settings again. Called on SIGHUP and when the file may have changed.
    std::function<absl::StatusOr<proxy_settings>()> reload;
};

/// Listeners, the registry's followers, signals and the orderly stop. One loop on one thread.
class proxy_node {
public:
    proxy_node(uv_loop_s* loop, proxy_settings settings, proxy_sources sources);
    ~proxy_node();
    proxy_node(const proxy_node&) = delete;
    proxy_node& operator=(const proxy_node&) = delete;

    /// Opens the listeners and begins to read the registry.
    absl::Status open();

    /// Runs until the node has stopped and returns the exit code.
    int run();

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace trefoil
