// What travels beside a call between nodes: down with the request, and up with the answer.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <trefoil/base/ids.hpp>
#include <trefoil/base/time.hpp>

namespace trefoil {

/// The context of a call on its way down. It belongs to the whole request: kind, priority and
/// once come from the row that matched the first leg.
struct call_context {
    request_id request;
    std::string kind;
    /// 0 is the most important, 9 the least.
    std::uint32_t priority = 0;
    /// True if the request must not be repeated.
    bool once = false;
    /// Time left until the deadline when this was sent.
    duration remaining{0};
    /// Retries that the receiver and everything below it may spend.
    std::uint32_t retry_tokens = 0;
    /// Number of calls between the first leg and this one.
    std::uint32_t depth = 0;
    /// Set only towards the application: the call that its own outgoing calls belong to.
    call_id parent_call;
    /// Set only towards the application: the node run in which parent_call has its meaning.
    incarnation_id parent_incarnation;
    /// True if an earlier attempt of this call was lost, perhaps because it crashed its target.
    bool is_suspect = false;

    friend bool operator==(const call_context&, const call_context&) = default;
};

/// What is known of a call's execution.
enum class outcome : std::uint8_t {
    /// No target ran any part of it.
    not_run = 0,
    /// It ran and this is its whole answer.
    completed = 1,
    /// It may have run, wholly or in part.
    unknown = 2,
};

std::string_view name_of(outcome value);

/// Why a call was refused or got no answer.
enum class refusal : std::uint8_t {
    none = 0,
    /// The target has no slot and the queue is full.
    overload = 1,
    /// The admission level of this node is above the request.
    level = 2,
    /// A service further down would refuse it.
    chain_level = 3,
    /// It can't finish before its deadline.
    deadline = 4,
    /// No usable instance of the service is known.
    no_instance = 5,
    /// The instance is leaving the fleet.
    leaving = 6,
    /// The request is suspected of crashing targets.
    quarantined = 7,
    /// The row's max_in_flight is reached.
    kind_limit = 8,
    /// The request is malformed.
    bad_request = 9,
    /// The request or the answer exceeds max_bytes.
    too_large = 10,
    /// A key is needed first; the answer carries one.
    key_required = 11,
    /// The key is not one that a node gave, or belongs to another caller or request.
    key_invalid = 12,
    /// The node run that owns the key is gone or has forgotten it.
    key_owner_gone = 13,
    /// All retry tokens of the whole request are spent.
    no_retry_tokens = 14,
    /// The connection was lost after the request was sent.
    connection_lost = 15,
    /// The caller withdrew the call.
    cancelled = 16,
    /// The target is down.
    target_down = 17,
    /// No table has been accepted yet.
    no_table = 18,
};

/// All refusals but none, in ascending order.
const std::vector<refusal>& all_refusals();
std::string_view name_of(refusal value);

/// For one kind, the admission threshold at or below a service: requests whose admission position
/// is not below it are refused.
struct kind_level {
    std::string kind;
    std::uint32_t threshold = 0;

    friend bool operator==(const kind_level&, const kind_level&) = default;
};

/// How busy the answering instance is.
struct load_report {
    std::uint32_t in_flight = 0;
    std::uint32_t queued = 0;
    std::uint32_t limit = 0;

    friend bool operator==(const load_report&, const load_report&) = default;
};

/// What an answer says beside its body.
struct answer_info {
    outcome result = outcome::unknown;
    refusal reason = refusal::none;
    /// Retry tokens that come back unspent.
    std::uint32_t unused_tokens = 0;
    /// The run of the node that answers.
    incarnation_id incarnation;
    /// Present on refusals and when the load has changed.
    std::optional<load_report> load;
    /// Present when a level has changed since the last report to this peer.
    std::vector<kind_level> levels;
    /// How long the caller is asked to wait before it tries again; zero if nothing is asked.
    duration retry_after{0};

    friend bool operator==(const answer_info&, const answer_info&) = default;
};

} // namespace trefoil
