// Metadata of a call between nodes: the context sent with the request, and the information returned
// with the answer.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <trefoil/base/ids.hpp>
#include <trefoil/base/time.hpp>

namespace trefoil {

/// Context that is propagated with a request from node to node. Kind, priority and once apply to
/// the whole request; they come from the table row that matched its entry call.
struct call_context {
    /// The whole request that the call belongs to.
    request_id request;
    /// Kind of the matching table row.
    std::string kind;
    /// 0 is the most important, 9 the least.
    std::uint32_t priority = 0;
    /// True if the request must not run more than once.
    bool once = false;
    /// Time from sending until the deadline.
    duration remaining{0};
    /// Retries that the receiver and all services downstream of it may use together.
    std::uint32_t retry_tokens = 0;
    /// Number of calls between the entry call and this one.
    std::uint32_t depth = 0;
    /// Set only in requests to the target: the call to which the target's outgoing calls belong.
    call_id parent_call;
    /// Set only in requests to the target: the node incarnation in which parent_call is valid.
    incarnation_id parent_incarnation;
    /// True if an earlier attempt of this call was lost, which can mean that it crashed its target.
    bool is_suspect = false;

    friend bool operator==(const call_context&, const call_context&) = default;
};

/// Whether a call was executed.
enum class outcome : std::uint8_t {
    /// No target executed any part of the call.
    not_run = 0,
    /// The call was executed and the answer is complete.
    completed = 1,
    /// The call may have been executed, wholly or in part.
    unknown = 2,
};

std::string_view name_of(outcome value);

/// Reason why a call was refused or has no answer.
enum class refusal : std::uint8_t {
    none = 0,
    /// The target has no free slot and the queue is full.
    overload = 1,
    /// The request's admission position is not below this node's threshold.
    level = 2,
    /// A downstream service would refuse the call.
    chain_level = 3,
    /// The call can't finish before its deadline.
    deadline = 4,
    /// No usable instance of the service is known.
    no_instance = 5,
    /// The instance is leaving the fleet.
    leaving = 6,
    /// The request is suspected of crashing targets.
    quarantined = 7,
    /// The max_in_flight limit of the table row is reached.
    kind_limit = 8,
    /// The request is malformed.
    bad_request = 9,
    /// The request or the answer exceeds the row's max_bytes.
    too_large = 10,
    /// The request needs an idempotency key; the answer carries a new one.
    key_required = 11,
    /// The idempotency key was not issued by a node, or belongs to another caller or request.
    key_invalid = 12,
    /// The node incarnation that owns the idempotency key no longer exists or no longer has its
    /// record.
    key_owner_gone = 13,
    /// All retry tokens of the whole request are used.
    no_retry_tokens = 14,
    /// The connection was lost after the request was sent.
    connection_lost = 15,
    /// The caller abandoned the call, for instance because its parent call has ended.
    cancelled = 16,
    /// The target is down.
    target_down = 17,
    /// No table has been accepted yet.
    no_table = 18,
    /// The node's copy of the configuration is too old to admit a request with a key.
    stale_keys = 19,
    /// The caller's workspace has sent more requests than its limit allows.
    workspace_limit = 20,
};

/// The value of refusal with the highest number.
inline constexpr refusal last_refusal = refusal::workspace_limit;

/// All values of refusal except `none`, in ascending order.
const std::vector<refusal>& all_refusals();
std::string_view name_of(refusal value);

/// Admission threshold for one kind at a service and its downstream services. Requests whose
/// admission position is not below the threshold are refused.
struct kind_threshold {
    std::string kind;
    std::uint32_t threshold = 0;

    friend bool operator==(const kind_threshold&, const kind_threshold&) = default;
};

/// Load of the instance that sends the answer.
struct load_report {
    /// Calls in flight at the target.
    std::uint32_t in_flight = 0;
    /// Calls in the queue.
    std::uint32_t queued = 0;
    /// Concurrency limit of the target.
    std::uint32_t limit = 0;
    /// Remaining work of these calls in milliseconds of the target's own time, at services whose
    /// requests are placed by expected work.
    std::optional<std::uint32_t> backlog_ms = std::nullopt;

    friend bool operator==(const load_report&, const load_report&) = default;
};

/// Metadata that a node sends with an answer.
struct answer_info {
    outcome result = outcome::unknown;
    refusal reason = refusal::none;
    /// Retry tokens that were not used and return to the caller's node.
    std::uint32_t unused_tokens = 0;
    /// Incarnation of the node that sends the answer.
    incarnation_id incarnation;
    /// Present in refusals and when the load has changed.
    std::optional<load_report> load;
    /// Thresholds that limit admission or have changed since the last report to this peer.
    std::vector<kind_threshold> kind_thresholds;
    /// Minimum time the caller is asked to wait before a retry; zero if it need not wait.
    duration retry_after{0};

    friend bool operator==(const answer_info&, const answer_info&) = default;
};

} // namespace trefoil
