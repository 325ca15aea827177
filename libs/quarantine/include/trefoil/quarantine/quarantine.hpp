// Prevents a request that crashes its target from crashing one target after another.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>
#include <vector>

#include <trefoil/base/ids.hpp>
#include <trefoil/quarantine/suspect_list.hpp>

namespace trefoil {

/// Decision on a call before it is dispatched to the target.
enum class quarantine_verdict : std::uint8_t {
    /// The call may be dispatched.
    pass,
    /// The call waits until no other suspected request is in flight at the target.
    hold,
    /// The call is refused.
    refuse,
};

/// A new verdict on a call that arrived earlier.
struct verdict_change {
    call_id call;
    quarantine_verdict verdict = quarantine_verdict::pass;

    friend bool operator==(const verdict_change&, const verdict_change&) = default;
};

/// Result of a call that is no longer tracked.
enum class run_result : std::uint8_t {
    /// The target sent a complete answer.
    completed,
    /// The connection to the target was lost, or the answer was truncated.
    lost,
    /// The call was refused, withdrawn or timed out. The target may still be processing it.
    abandoned,
};

/// Identifies requests that crash one target and refuses them. When the target crashes, the
/// requests in flight at it become suspected, except those that have completed recently. A
/// suspected request is dispatched only while no other suspected request is in flight. If it
/// completes, it is cleared; if the target crashes again while it is the only suspected request in
/// flight, it is convicted and refused, and the requests suspected for the same crash are cleared.
class quarantine {
public:
    /// `seed` makes the incident ids of different nodes distinct.
    quarantine(quarantine_settings settings, std::uint64_t seed)
        : settings_(settings), seed_(seed), suspects_(settings) {}

    /// Returns the verdict on a call that arrives. `is_flagged` is set if the sender reports that
    /// an earlier attempt of it was lost.
    quarantine_verdict arrive(time_point now, call_id call, fingerprint request, bool is_flagged);

    /// Records that a call that passed is dispatched to the target.
    void handed(time_point now, call_id call);

    /// Records the end of a call.
    void ended(time_point now, call_id call, run_result how);

    /// Records that the target's process has ended with all calls in flight at it.
    void target_went_down(time_point now);

    /// Applies a notice about requests from another node. New information is forwarded.
    void receive_notice(time_point now, const suspect_notice& notice);

    /// Records that a call sent to another node was lost.
    void attempt_lost(time_point now, fingerprint request);

    /// Records that a call sent to another node completed.
    void attempt_completed(time_point now, fingerprint request);

    /// Suspected, convicted, or empty for a request that is neither.
    std::optional<suspicion> state(time_point now, fingerprint request) const {
        return suspects_.state(now, request);
    }

    /// True if no request is suspected or convicted, so that fingerprints need not be computed.
    bool is_idle() const { return suspects_.empty(); }

    /// Calls whose verdict has changed since the last call of this function.
    std::vector<verdict_change> take_changes(time_point now);

    /// Notices to send to neighbours now; empty before next_wake().
    std::vector<suspect_notice> take_notices(time_point now);

    /// Time at which notices are due; empty if there are none.
    std::optional<time_point> next_wake() const { return notices_due_; }

    std::size_t size() const { return suspects_.size(); }

private:
    enum class call_stage : std::uint8_t { held, passed, dispatched };

    struct tracked_call {
        fingerprint request = 0;
        call_stage current_stage = call_stage::passed;
        /// True if this is the one suspected call that may be dispatched.
        bool is_trial = false;
        time_point dispatched_at;
    };

    /// A call that was abandoned while the target was processing it.
    struct abandoned_run {
        fingerprint request = 0;
        time_point until;
    };

    /// Lost calls close together in time, attributed to one crash of the target if it crashed.
    struct incident {
        std::uint64_t id = 0;
        time_point began;
        time_point last_loss;
        bool is_resolved = true;
        /// True if a call that was in flight when the incident began has completed.
        bool target_survived = false;
        /// Lost requests that were already suspected.
        std::vector<fingerprint> prior_suspects;
        /// Lost requests that are suspected since this incident.
        std::vector<fingerprint> new_suspects;
        /// Lost requests that have completed recently. They become suspected only if the incident
        /// has no other suspected request.
        std::vector<fingerprint> recently_completed;
    };

    quarantine_verdict evaluate(time_point now, call_id call, tracked_call& entry);
    void record_loss(time_point now, fingerprint request);
    void resolve_incident(time_point now);
    void resolve_if_none_left(time_point now);
    void convict(time_point now, fingerprint request, std::uint64_t incident);
    void queue_notice(time_point now, suspicion state, fingerprint request, std::uint64_t incident,
                      duration lifetime);
    void end_trial(call_id call);

    quarantine_settings settings_;
    std::uint64_t seed_;
    suspect_list suspects_;
    std::unordered_map<call_id, tracked_call> calls_;
    std::deque<call_id> held_;
    std::deque<abandoned_run> abandoned_runs_;
    std::optional<call_id> trial_;
    incident incident_;
    std::uint64_t incident_count_ = 0;
    bool needs_recheck_ = false;
    std::vector<suspect_notice> notices_;
    std::optional<time_point> notices_due_;
};

} // namespace trefoil
