// The node process: listeners, connections and core on one event loop.
#pragma once

#include <memory>

#include <absl/status/status.h>

#include <trefoil/node/node_settings.hpp>

namespace trefoil {

/// Runs one node on a single-threaded event loop: converts HTTP exchanges, control messages, timers
/// and signals to events of the core, and performs the actions that the core returns. Ignores
/// SIGPIPE, and requests a stop of the core on SIGTERM and SIGINT.
class node_process {
public:
    explicit node_process(const node_settings& settings);
    ~node_process();
    node_process(const node_process&) = delete;
    node_process& operator=(const node_process&) = delete;

    /// Opens all listeners and starts probing the target. Returns the error of the first listener
    /// that can't be opened.
    absl::Status open();

    /// Runs the event loop until the node has stopped. Returns the exit code of the process.
    int run();

private:
    class impl;
    std::unique_ptr<impl> impl_;
};

} // namespace trefoil
