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
    /// The workspace of the whole request; empty if it has none.
    workspace_name workspace;
    /// The workspace whose limit the request counts against; null for calls of targets, whose whole
    /// request was counted when it arrived, and for workspaces without a limit.
    std::shared_ptr<const workspace_entry> limited_workspace;
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
enum class terms_error : std::uint8_t {
    no_config,
    no_route,
    /// The credentials are missing or invalid, see terms_problem::credentials.
    no_workspace,
    /// The copy of the configuration is too old to tell whether the key is still valid.
    stale_keys,
    /// The request is named like a call that a target makes during a run, and has no key, but no
    /// such run is in progress here.
    unknown_run,
};

/// An error, with what the log tells of the credentials.
struct terms_problem {
    terms_error error = terms_error::no_config;
    credentials_error credentials = credentials_error::missing;
    /// Digest of the key, see key_digest(); empty if the request has no key.
    std::string key_digest;

    friend bool operator==(const terms_problem&, const terms_problem&) = default;
};

/// Determines the route, the workspace, the priority and the bucket of the request and counts it in
/// the retry limiter for its service.
std::variant<call_terms, terms_problem> read_call_terms(proxy_state& state,
                                                        const http1::request_head& head,
                                                        const std::string& request_id,
                                                        time_point arrived);

/// Replaces the request bucket of a caller's request by its place among all requests of its
/// priority, by the fair shares of their workspaces, and counts it as demand of its workspace. Must
/// be called once, and only for requests within the limit of their workspace: what is beyond it is
/// not asked of any service.
void set_place_by_share(proxy_state& state, time_point arrived, call_terms& terms);

} // namespace trefoil
