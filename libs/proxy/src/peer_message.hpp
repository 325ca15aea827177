// Header fields that proxies add to requests and responses between them.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include <trefoil/base/time.hpp>
#include <trefoil/traffic/traffic_config.hpp>
#include <trefoil/wire/call_context.hpp>
#include <trefoil/wire/http_message.hpp>

#include "attempt.hpp"

namespace trefoil {

/// Parameters for running a request at a target.
struct run_terms {
    /// The route identifies the type of work; service times are estimated for each route.
    std::string route;
    /// Priority of the whole request; 0 is the highest.
    std::uint32_t priority = 0;
    /// Bucket of the whole request (see request_bucket_of), by which requests of the same priority
    /// are ordered for shedding.
    std::uint32_t request_bucket = 0;
    repeatability repeats = repeatability::at_most_once;
    /// True for a call that a target made while it ran another request.
    bool is_nested = false;
    /// True if this run, or a run upstream of it, is a retry.
    bool is_retry = false;
    /// Time in which a response has its full value.
    duration useful_time{0};
    /// Time until the caller stops waiting.
    duration remaining{0};
    /// The workspace of the whole request; empty if it has none. It is transmitted in the header
    /// field of the platform.
    workspace_name workspace;

    friend bool operator==(const run_terms&, const run_terms&) = default;
};

/// Header field with the terms, on requests between proxies. The remaining time is transmitted in
/// the header field of the platform.
inline constexpr std::string_view terms_field = "trefoil-terms";
/// Header field with a verdict, on responses that a proxy generates itself.
inline constexpr std::string_view verdict_field = "trefoil-verdict";
/// Header field with the downstream state, on responses between proxies. It describes the calls
/// that the target made while it ran the request.
inline constexpr std::string_view downstream_field = "trefoil-below";
/// Header field with the load report, on responses between proxies.
inline constexpr std::string_view load_field = "trefoil-load";

/// Header field with the level of a short service, on responses between proxies. It is only sent
/// while there is one, and only where the configuration lists workspaces.
inline constexpr std::string_view shortage_field = "trefoil-short";

/// Header field with the rate limit that the sender has heard from the target, on requests between
/// proxies. The proxy beside the target may have restarted since.
inline constexpr std::string_view limit_field = "trefoil-limit";

/// True for header fields that only proxies may set.
bool is_peer_field(std::string_view lower_case_name);

std::string encode_terms(const run_terms& terms);
/// Returns nothing if the text is malformed. `remaining` stays zero and `workspace` empty.
std::optional<run_terms> decode_terms(std::string_view text);

/// Formats a duration as whole milliseconds.
std::string encode_milliseconds(duration value);
/// Returns nothing if the text is malformed or negative.
std::optional<duration> decode_milliseconds(std::string_view text);

std::string_view encode_downstream(downstream_state downstream);
downstream_state decode_downstream(std::string_view text);

/// Three numbers, and the backlog as a fourth if the report carries it. Both forms are read.
std::string encode_load(const load_report& load);
std::optional<load_report> decode_load(std::string_view text);

std::string encode_shortage(const shortage_level& level);
std::optional<shortage_level> decode_shortage(std::string_view text);

/// What a proxy reports if it has no response of the target: a refusal, or a failure after which
/// the request may have run.
using peer_verdict = std::variant<attempt_refusal, attempt_failure>;

/// Encodes the verdict without its load report, which has a header field of its own.
std::string encode_verdict(const peer_verdict& verdict);
/// Returns nothing if the text is malformed.
std::optional<peer_verdict> decode_verdict(std::string_view text);

} // namespace trefoil
