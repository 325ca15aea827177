// What the connections of one server share.
#pragma once

#include <cstddef>
#include <list>
#include <memory>
#include <unordered_map>

#include <trefoil/http1/body_memory.hpp>
#include <trefoil/http1/server.hpp>

namespace trefoil::http1 {

class server_connection;

/// The limits, the handler and the counters of a server, and its open connections. It must outlive
/// the connections.
struct server_state {
    uv_loop_s* loop;
    server_limits limits;
    /// Receives each request as soon as its head is complete.
    server::request_handler on_request;
    /// Told of answers that were cut. May be empty.
    server::cut_handler on_cut = {};
    /// Null if the memory for request bodies is not limited.
    const body_memory* memory = nullptr;
    /// True if each response closes its connection.
    bool closes_after_answers = false;
    /// Number of requests without a complete response.
    std::size_t pending = 0;
    std::unordered_map<server_connection*, std::shared_ptr<server_connection>> connections = {};
    /// Those of them that are being ended, in the order in which this began.
    std::list<server_connection*> ending = {};
};

} // namespace trefoil::http1
