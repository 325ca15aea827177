// Which header fields carry what the proxy reads and writes.
#pragma once

#include <string>

namespace trefoil {

/// Names of header fields in lower case. The adapter of a platform fills them in.
struct call_fields {
    /// Names one attempt of a caller; targets repeat it in their answers.
    std::string request_id;
    /// Milliseconds until the caller stops waiting.
    std::string time_left;
    /// The service of the instance at which the call began.
    std::string caller_service;
    /// The instance that is to run the request; another one refuses it.
    std::string expected_instance;
    /// Present on answers of targets that have not run the request.
    std::string not_executed;
    /// Present on answers that a target made.
    std::string answer_stamp;

    friend bool operator==(const call_fields&, const call_fields&) = default;
};

} // namespace trefoil
