// One node: its listeners, its connections and its core on one loop.
#pragma once

#include <memory>

#include <absl/status/status.h>

#include <trefoil/node/node_settings.hpp>

namespace trefoil {

/// Runs a node until it has stopped. Blocks SIGPIPE, stops on SIGTERM and SIGINT.
class node_process {
public:
    explicit node_process(const node_settings& settings);
    ~node_process();
    node_process(const node_process&) = delete;
    node_process& operator=(const node_process&) = delete;

    /// Opens the listeners. Fails with the failure of the listener that can't be opened.
    absl::Status open();

    /// Runs the loop; returns the exit code.
    int run();

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace trefoil
