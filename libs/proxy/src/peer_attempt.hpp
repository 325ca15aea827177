// An attempt through another node.
#pragma once

#include <memory>
#include <optional>
#include <string>

#include <trefoil/http1/client.hpp>
#include <trefoil/proxy/header_field_names.hpp>

#include "attempt.hpp"
#include "peer_message.hpp"

namespace trefoil {

/// A request for the node beside an instance.
struct peer_request {
    endpoint peer;
    http1::request_head head;
    std::string body;
    bool is_body_complete = true;
    run_terms terms;
    /// Rate limit that the target has named in its answers to this node.
    std::optional<double> rate_limit;
};

/// Sends the request to the peer. The handler is called asynchronously.
std::unique_ptr<attempt> start_peer_attempt(http1::client& client, const header_field_names& fields,
                                            peer_request request, attempt_handler on_event);

} // namespace trefoil
