// The log's line on a call that has ended.
#pragma once

#include <cstdint>
#include <string>

#include <trefoil/base/ids.hpp>
#include <trefoil/base/log_queue.hpp>
#include <trefoil/base/time.hpp>

#include "proxy_metrics.hpp"

namespace trefoil {

/// A call as its line in the log tells it.
struct finished_call {
    std::string request_id;
    /// Empty if no route was found.
    std::string route;
    service_name service;
    /// The last instance that it was sent to; empty if none has it now.
    std::string instance;
    call_end end = call_end::served;
    /// Zero if the client got none.
    int status = 0;
    std::string cause;
    std::uint32_t tries = 0;
    duration took{0};
    /// The lesser of the route's timeout and the caller's deadline; zero if no route was found.
    duration limit{0};
    /// The version of the configuration that it was routed by.
    std::uint64_t config_version = 0;
};

/// How much a line on a call with this end is worth.
log_class class_of(call_end end);

log_record to_record(const finished_call& call);

} // namespace trefoil
