// The log record of a call that has ended.
#pragma once

#include <cstdint>
#include <string>

#include <trefoil/base/ids.hpp>
#include <trefoil/base/log_queue.hpp>
#include <trefoil/base/time.hpp>

#include "proxy_metrics.hpp"

namespace trefoil {

/// The values that are logged for a finished call.
struct finished_call {
    std::string request_id;
    /// Empty if no route was found.
    std::string route;
    service_name service;
    /// The instance of the attempt in progress at the end; empty if there was none.
    std::string instance;
    call_result result = call_result::served;
    /// Zero if the client received no status or the response was streamed.
    int status = 0;
    std::string cause;
    std::uint32_t attempts = 0;
    duration took{0};
    /// The lesser of the route timeout and the deadline of the caller; zero if no route was found.
    duration limit{0};
    /// The version of the configuration that the call was routed by.
    std::uint64_t config_version = 0;
    /// Empty if the call has none.
    workspace_name workspace;
    /// Digest of a key that was not accepted; empty if there is none.
    std::string key_digest;
};

/// Returns the log class of a call with this result.
log_class log_class_of(call_result result);

log_record to_record(const finished_call& call);

} // namespace trefoil
