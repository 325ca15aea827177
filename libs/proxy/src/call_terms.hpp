// Routing parameters of a request, determined before the first attempt.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include <trefoil/base/ids.hpp>
#include <trefoil/base/time.hpp>
#include <trefoil/http1/message.hpp>
#include <trefoil/traffic/traffic_config.hpp>

#include "proxy_state.hpp"

namespace trefoil {

/// The terms of a request that comes from a caller on this machine. They do not change during the
/// lifetime of the request.
struct call_terms {
    std::shared_ptr<const route> matched_route;
    std::uint64_t config_version = 0;
    /// The service that this request is sent to, chosen from the weighted services of the route.
    service_name service;
    /// Deadline by the timeout of the route or the remaining time of the caller, whichever is less.
    time_point response_deadline;
    /// Deadline by the remaining time of the caller; empty if the caller names none.
    std::optional<time_point> caller_deadline;
    /// The id of the request during which the local target made this call.
    std::optional<std::string> parent;
    /// Priority of the whole request and its position in the shedding order within that priority.
    std::uint32_t priority = 0;
    std::uint32_t request_bucket = 0;
    /// True if the run that made this call is a retry.
    bool is_within_retry = false;
    /// Headers that are forwarded. The expected-instance field is added for each attempt.
    std::vector<http_header> headers;

    bool is_idempotent() const { return matched_route->repeats == repeatability::idempotent; }
};

/// Why the terms of a request could not be determined.
enum class terms_error : std::uint8_t { no_config, no_route };

/// Determines the route, the priority and the bucket of the request and counts it in the retry
/// limiter for its service.
std::variant<call_terms, terms_error> read_call_terms(proxy_state& state,
                                                      const http1::request_head& head,
                                                      const std::string& request_id,
                                                      time_point arrived);

} // namespace trefoil
