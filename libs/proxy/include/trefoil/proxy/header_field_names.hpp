// Names of the header fields that the proxy reads and writes.
#pragma once

#include <string>

#include <trefoil/workspace/credentials.hpp>

namespace trefoil {

/// Names of header fields in lower case, set by the adapter of a platform.
struct header_field_names {
    /// Identifies one attempt of a caller. Targets repeat it in their responses.
    std::string request_id;
    /// Milliseconds until the caller stops waiting.
    std::string remaining_time;
    /// The service of the instance at which the call originated.
    std::string caller_service;
    /// The instance that is to run the request. Any other instance refuses it.
    std::string expected_instance;
    /// Present on responses of targets that have not run the request.
    std::string not_executed;
    /// Present on responses that were made by a target.
    std::string answer_stamp;
    /// On responses of a target: requests per second that it accepts from all machines together.
    std::string rate_limit;
    /// On responses of a target that is about to end.
    std::string leaving;
    /// The workspace of a request, for the target. Never taken from a caller.
    std::string workspace = {};
    /// Credentials of a caller's request. Never passed on where workspaces are configured.
    credentials_format credentials = {};

    friend bool operator==(const header_field_names&, const header_field_names&) = default;
};

} // namespace trefoil
