// Decides which calls a target runs, in which order, and which are refused.
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
#include <trefoil/admission/service_times.hpp>
#include <trefoil/base/ids.hpp>
#include <trefoil/base/time.hpp>
#include <trefoil/wire/call_context.hpp>

namespace trefoil {

/// The parts of overload control, each of which can be switched off to measure what it does.
struct admission_policy {
    /// Calls are held back by a limit; without it each is handed on at once.
    bool limit = true;
    /// The limit follows what the target bears; without it it is the number of slots.
    bool adaptive_limit = true;
    /// Calls wait by position, the lowest first; without it in order of arrival.
    bool priority_order = true;
    /// Calls that can't finish in their remaining time are refused.
    bool deadline_refusal = true;
    /// A threshold over positions is set under pressure.
    bool level = true;
    /// What would be refused further down is refused here.
    bool chain_level = true;
    /// A target that comes back gets few calls at first.
    bool slow_start = true;
    /// Calls whose turn is expected to come after their patience are refused on arrival.
    bool wait_refusal = false;

    friend bool operator==(const admission_policy&, const admission_policy&) = default;
};

/// Every call is handed on at once.
inline constexpr admission_policy no_admission{.limit = false,
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

/// Limits of one target.
struct admission_settings {
    /// Calls that the target works on at once.
    std::uint32_t slots = 1;
    /// Connections that the target accepts.
    std::uint32_t connections = 1;
    /// Calls that may wait, as a multiple of the slots.
    double queue_per_slot = 1.0;
    /// How soon refused demand is forgotten and levels that are not heard again are probed, from 0
    /// (late, which sheds more strictly in order and wastes less) to 1 (soon, which returns to
    /// normal sooner).
    double recovery_speed = 0.6;
    admission_policy policy = {};

    friend bool operator==(const admission_settings&, const admission_settings&) = default;
};

/// A call that asks to be run.
struct admission_request {
    call_id call;
    std::string kind;
    /// See admission_position.
    std::uint32_t position = 0;
    time_point deadline;
    /// Calls of this kind that may be in flight at the target; 0 refuses all.
    std::uint32_t kind_limit = 0;
    /// Longest time that the call may wait for its turn, if its sender has another use for it then.
    duration patience = duration::max();

    friend bool operator==(const admission_request&, const admission_request&) = default;
};

/// A waiting call that was taken out of the queue.
struct admission_change {
    call_id call;
    /// refusal::none if the call is to be handed to the target now.
    refusal reason = refusal::none;

    friend bool operator==(const admission_change&, const admission_change&) = default;
};

/// What the end of a call says of its target.
enum class service_end : std::uint8_t {
    /// A whole answer.
    answered,
    /// An answer that reports an error of the application, perhaps of a service further down.
    errored,
    /// The target shed the call.
    shed,
    /// The target took no connection, lost one or gave no whole answer.
    failed,
    /// The call was cancelled or its deadline passed, which says nothing of the target.
    given_up,
};

/// How a call that was handed to the target ended.
struct service_result {
    /// Time between hand-off and end.
    duration service_time{0};
    service_end end = service_end::answered;

    friend bool operator==(const service_result&, const service_result&) = default;
};

/// The queue and the limits in front of one target. It holds no time of its own: every call passes
/// the present in. A call is in exactly one of three places: waiting, in flight, or gone.
class admission {
public:
    explicit admission(admission_settings settings);

    /// Puts the call into the queue, or refuses it: then a reason other than none is returned.
    refusal offer(time_point now, const admission_request& request);

    /// Takes calls out of the queue: those to hand to the target now and those to refuse, in that
    /// order of decision. Calls to hand on count as in flight from here. Its cost depends on what
    /// changes and not on the length of the queue, but for calls that wait for their kind's limit.
    std::vector<admission_change> advance(time_point now);

    /// Ends a call that was in flight.
    void finished(time_point now, call_id call, const service_result& result);

    /// Takes a waiting call out without a verdict. False if it does not wait here.
    bool withdraw(call_id call);

    /// Tells that the target's process is there or not. A target that comes back is cold.
    void target_changed(time_point now, bool is_up);

    /// The target declares another number of slots.
    void set_slots(std::uint32_t slots);

    /// How long a call of this position would wait for its turn.
    duration expected_wait(std::uint32_t position) const;

    /// The position of the last call in the queue, if calls have been waiting without a break for
    /// `standing_time`. A queue that stands is no burst: more is offered than the target takes.
    std::optional<std::uint32_t> standing_position(time_point now) const;

    static constexpr duration standing_time = 400ms;

    /// The highest position that is admitted at present, plus one.
    std::uint32_t threshold() const;

    /// In flight, waiting and the present limit.
    load_report load() const;

    /// When advance() has something to do although no event arrives.
    std::optional<time_point> next_deadline() const;

private:
    using queue_key = std::pair<std::uint32_t, std::uint64_t>;
    using deadline_key = std::pair<time_point, call_id>;
    struct waiting_call {
        admission_request request;
        time_point since;
        /// Latest time at which a hand-off makes sense.
        time_point latest_start;
    };
    using queue = std::map<queue_key, waiting_call>;

    std::uint32_t queue_limit() const;
    std::uint32_t limit() const;
    void note_state(time_point now);
    bool kind_is_full(const admission_request& request) const;
    bool waits_too_long(time_point now, const admission_request& request) const;
    bool is_too_late(time_point now, const admission_request& request) const;
    queue::iterator take(queue::iterator at, refusal reason, std::vector<admission_change>& out);
    void refuse_all(refusal reason, std::vector<admission_change>& out);
    void refuse_late(time_point now, std::vector<admission_change>& out);
    void hand_on(time_point now, std::vector<admission_change>& out);
    void shorten(std::vector<admission_change>& out);

    admission_settings settings_;
    concurrency_limit limit_;
    service_times service_times_;
    admission_level level_;
    queue queue_;
    std::set<deadline_key> deadlines_;
    std::unordered_map<call_id, queue_key> keys_;
    std::unordered_map<call_id, std::string> in_flight_;
    std::unordered_map<std::string, std::uint32_t> in_flight_by_kind_;
    std::uint64_t next_sequence_ = 0;
    /// When calls began to wait; nothing while none does.
    std::optional<time_point> waiting_since_;
    bool target_is_up_ = true;
};

} // namespace trefoil
