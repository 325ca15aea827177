// Admission control for one target: concurrency limit, queue order and refusals.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include <trefoil/admission/admission_level.hpp>
#include <trefoil/admission/concurrency_limit.hpp>
#include <trefoil/admission/rate_limiter.hpp>
#include <trefoil/admission/service_times.hpp>
#include <trefoil/base/ids.hpp>
#include <trefoil/base/time.hpp>
#include <trefoil/wire/call_context.hpp>
#include <trefoil/work/target_backlog.hpp>

namespace trefoil {

/// Enables the parts of overload control one by one, so that the effect of each can be measured.
struct admission_policy {
    /// A concurrency limit applies; without it each call is dispatched at once.
    bool limit = true;
    /// The limit adapts to the target's responses; without it the number of slots is the limit.
    bool adaptive_limit = true;
    /// The queue is ordered by position, lowest first; without it by arrival.
    bool priority_order = true;
    /// Calls that are not expected to finish before their deadline are refused.
    bool deadline_refusal = true;
    /// Under overload, calls at or above a threshold over positions are refused.
    bool level = true;
    /// Calls that a service further down the call chain would refuse are refused here.
    bool chain_level = true;
    /// A restarted target gets a small limit that grows with each success.
    bool slow_start = true;
    /// Calls are refused on arrival if their expected queueing time exceeds their maximum wait or
    /// ends after their deadline.
    bool wait_refusal = false;

    friend bool operator==(const admission_policy&, const admission_policy&) = default;
};

/// Every call is dispatched at once.
inline constexpr admission_policy unlimited_admission{.limit = false,
                                                      .adaptive_limit = false,
                                                      .priority_order = false,
                                                      .deadline_refusal = false,
                                                      .level = false,
                                                      .chain_level = false,
                                                      .slow_start = false};
/// A fixed limit and a queue in order of arrival.
inline constexpr admission_policy fixed_admission{.limit = true,
                                                  .adaptive_limit = false,
                                                  .priority_order = false,
                                                  .deadline_refusal = false,
                                                  .level = false,
                                                  .chain_level = false,
                                                  .slow_start = false};

/// Limits of one target and the policy that applies to it.
struct admission_settings {
    /// Calls that the target can process concurrently.
    std::uint32_t slots = 1;
    /// Connections that the target accepts; the concurrency limit does not exceed them.
    std::uint32_t connections = 1;
    /// Maximum queue length, as a multiple of the slots.
    double queue_per_slot = 1.0;
    /// Speed of recovery after overload, from 0 to 1: how fast the estimate of refused demand
    /// decays, and how soon downstream levels that are not reported again are probed. Low values
    /// shed more strictly in order and waste less; high values return to normal sooner.
    double recovery_speed = 0.6;
    admission_policy policy = {};

    friend bool operator==(const admission_settings&, const admission_settings&) = default;
};

/// A call that requests admission.
struct admission_request {
    call_id call;
    std::string kind;
    /// Place in the order of shedding, see admission_position.
    std::uint32_t position = 0;
    time_point deadline;
    /// Maximum number of calls of this kind in flight at the target; 0 refuses all.
    std::uint32_t kind_limit = 0;
    /// Maximum queueing time, for a sender that has another use for the call after it.
    duration max_wait = duration::max();

    friend bool operator==(const admission_request&, const admission_request&) = default;
};

/// A decision that removes a waiting call from the queue.
struct admission_decision {
    call_id call;
    /// refusal::none if the call is to be dispatched to the target now.
    refusal reason = refusal::none;

    friend bool operator==(const admission_decision&, const admission_decision&) = default;
};

/// Status of a finished call, as an indication of the target's state.
enum class service_status : std::uint8_t {
    /// A complete answer.
    answered,
    /// An answer that reports an application error, possibly of a downstream service.
    application_error,
    /// The target shed the call.
    shed,
    /// The target accepted no connection, lost one or sent no complete answer.
    failed,
    /// The call was cancelled or its deadline passed, which does not indicate the target's state.
    abandoned,
};

/// Service time and status of a finished call.
struct service_result {
    /// Time from dispatch to end.
    duration service_time{0};
    service_status status = service_status::answered;

    friend bool operator==(const service_result&, const service_result&) = default;
};

/// Protects one target from overload: queues calls, dispatches them within a concurrency limit and
/// refuses those that exceed the limits or would miss their deadline. Does not read a clock; the
/// caller passes the current time. A call is either waiting, in flight or no longer tracked.
class admission {
public:
    explicit admission(admission_settings settings);

    /// Queues the call and returns refusal::none, or returns the reason for refusing it.
    refusal offer(time_point now, const admission_request& request);

    /// Removes from the queue the calls to dispatch now and the calls to refuse, and returns them
    /// in the order of the decisions. Dispatched calls count as in flight from then on. The cost
    /// depends on the number of changes and not on the length of the queue, except for calls that
    /// wait for their kind's limit.
    std::vector<admission_decision> advance(time_point now);

    /// Records the end of a call in flight. Returns false if the call is not in flight.
    bool finished(time_point now, call_id call, const service_result& result);

    /// Removes a waiting call without a decision. Returns false if the call is not in the queue.
    bool withdraw(call_id call);

    /// Sets whether the target's process is up. A target that comes up again gets a slow start.
    void target_changed(time_point now, bool is_up);

    /// Changes the number of slots that the target declares.
    void set_slots(std::uint32_t slots);

    /// Changes the maximum queue length, as a multiple of the slots.
    void set_queue_per_slot(double queue_per_slot) { settings_.queue_per_slot = queue_per_slot; }

    /// Sets the calls a second that the target accepts, or removes the limit. Calls beyond it wait
    /// in the queue and are refused like those for which there is no slot.
    void set_rate_limit(std::optional<double> calls_per_second);

    /// Sets whether waits and deadlines are judged by the expected work of the calls. What was
    /// learned is dropped when it ends.
    void use_expected_work(bool is_used);

    /// The calls by their expected work; null if it is not used.
    const target_backlog* backlog() const { return backlog_ ? &*backlog_ : nullptr; }

    /// Expected queueing time of a call with this position.
    duration expected_wait(time_point now, std::uint32_t position) const;

    /// Position of the last call in the queue, if the queue has been non-empty for at least
    /// `standing_time`. A standing queue is not a burst: the offered load exceeds what the target
    /// accepts.
    std::optional<std::uint32_t> standing_position(time_point now) const;

    /// Time without an empty queue after which the queue counts as standing.
    static constexpr duration standing_time = 400ms;

    /// The highest position that is currently admitted, plus one.
    std::uint32_t threshold() const;

    /// Calls in flight, calls waiting and the current limit. With a rate limit, the reported limit
    /// is at most the number of calls that are in flight on average at that rate.
    load_report load() const;

    /// Time at which advance() is due without a further event; empty if no call waits.
    std::optional<time_point> next_deadline() const;

private:
    using queue_key = std::pair<std::uint32_t, std::uint64_t>;
    using deadline_key = std::pair<time_point, call_id>;
    struct waiting_call {
        admission_request request;
        time_point since;
        /// Latest dispatch time that leaves the expected service time before the deadline and is
        /// within the call's maximum wait.
        time_point latest_start;
        /// Expected service time; zero where expected work is not used.
        duration work{0};
    };
    using queue = std::map<queue_key, waiting_call>;

    std::uint32_t queue_limit() const;
    duration slot_wait(time_point now, queue::const_iterator end) const;
    duration least_service_time(time_point now, const std::string& kind) const;
    std::uint32_t limit() const;
    bool may_dispatch(time_point now) const;
    void record_state(time_point now);
    bool is_kind_at_limit(const admission_request& request) const;
    duration max_wait(const admission_request& request) const;
    bool exceeds_wait_limit(time_point now, const admission_request& request) const;
    bool misses_deadline(time_point now, const admission_request& request) const;
    queue::iterator dequeue(queue::iterator at, refusal reason,
                            std::vector<admission_decision>& out);
    void refuse_all(refusal reason, std::vector<admission_decision>& out);
    void refuse_expired(time_point now, std::vector<admission_decision>& out);
    void dispatch_waiting(time_point now, std::vector<admission_decision>& out);
    void trim_queue(std::vector<admission_decision>& out);

    admission_settings settings_;
    concurrency_limit limit_;
    rate_limiter rate_;
    service_times service_times_;
    /// Empty where expected work is not used.
    std::optional<target_backlog> backlog_;
    admission_level level_;
    queue queue_;
    std::set<deadline_key> deadlines_;
    std::unordered_map<call_id, queue_key> keys_;
    std::unordered_map<call_id, std::string> in_flight_;
    std::unordered_map<std::string, std::uint32_t> in_flight_by_kind_;
    std::uint64_t next_sequence_ = 0;
    /// Time since which the queue has been non-empty; empty while no call waits.
    std::optional<time_point> waiting_since_;
    bool target_is_up_ = true;
};

} // namespace trefoil
