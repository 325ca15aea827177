// Keeps a request that crashes its target from crashing one target after another.
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

/// What happens to a call at the gate.
enum class gate_verdict : std::uint8_t {
    /// It may be run.
    pass,
    /// It waits here until no other suspect runs on the target.
    hold,
    /// It is refused.
    refuse,
};

/// A new verdict on a call that came earlier.
struct gate_change {
    call_id call;
    gate_verdict verdict = gate_verdict::pass;

    friend bool operator==(const gate_change&, const gate_change&) = default;
};

/// How a call's stay ended.
enum class run_end : std::uint8_t {
    /// The target answered in full.
    completed,
    /// The target's connection was lost or its answer broke off.
    lost,
    /// Refused, withdrawn or timed out. The target may still be at work on it.
    given_up,
};

/// A gate in front of one target. When the target dies, the requests in flight at it become
/// suspects; known ones that ran to their end lately do not. A suspect runs only alone among
/// suspects. If it completes it is cleared; if the target dies again while it is the only suspect
/// in flight, it is convicted and refused, and those suspected for the same crash are cleared.
class quarantine {
public:
    /// `seed` keeps the names of crashes apart between nodes.
    quarantine(quarantine_settings settings, std::uint64_t seed)
        : settings_(settings), seed_(seed), suspects_(settings) {}

    /// A call arrives. A flagged one was lost before, as its sender says.
    gate_verdict arrive(time_point now, call_id call, fingerprint request, bool is_flagged);

    /// A call that passed is handed to the target.
    void handed(time_point now, call_id call);

    /// A call is over.
    void ended(time_point now, call_id call, run_end how);

    /// The target's process is gone with everything in flight at it.
    void target_went_down(time_point now);

    /// Another node tells of suspects.
    void heard(time_point now, const suspect_notice& notice);

    /// A call sent to another node was lost.
    void attempt_lost(time_point now, fingerprint request);
    /// A call sent to another node completed.
    void attempt_completed(time_point now, fingerprint request);

    /// Suspected, convicted, or nothing.
    std::optional<suspicion> state(time_point now, fingerprint request) const {
        return suspects_.state(now, request);
    }
    /// True if no request is suspected, so that fingerprints need not be computed.
    bool is_idle() const { return suspects_.empty(); }

    /// Calls whose verdict has changed.
    std::vector<gate_change> take_changes(time_point now);

    /// Notices that are due to be sent to neighbours.
    std::vector<suspect_notice> take_notices(time_point now);

    std::optional<time_point> next_wake() const { return notices_due_; }

    std::size_t size() const { return suspects_.size(); }

private:
    enum class stage : std::uint8_t { held, passed, handed };

    struct guarded_call {
        fingerprint request = 0;
        stage at = stage::passed;
        bool is_trial = false;
        time_point handed_at;
    };

    /// A call that was given up while the target worked on it.
    struct lingering_run {
        fingerprint request = 0;
        time_point until;
    };

    /// Losses close together in time; one death of the target, if it died.
    struct incident {
        std::uint64_t id = 0;
        time_point began;
        time_point last_loss;
        bool is_decided = true;
        bool target_survived = false;
        /// Lost requests that were suspects before.
        std::vector<fingerprint> suspects;
        /// Lost requests that are suspects now.
        std::vector<fingerprint> others;
        /// Lost requests that ran to their end lately.
        std::vector<fingerprint> good;
    };

    gate_verdict judge(time_point now, call_id call, guarded_call& entry);
    void note_loss(time_point now, fingerprint request);
    void decide(time_point now);
    void decide_if_alone(time_point now);
    void convict(time_point now, fingerprint request, std::uint64_t incident);
    void tell(time_point now, suspicion state, fingerprint request, std::uint64_t incident,
              duration lifetime);
    void free_trial(call_id call);

    quarantine_settings settings_;
    std::uint64_t seed_;
    suspect_list suspects_;
    std::unordered_map<call_id, guarded_call> calls_;
    std::deque<call_id> held_;
    std::deque<lingering_run> lingering_;
    std::optional<call_id> trial_;
    incident incident_;
    std::uint64_t incidents_ = 0;
    bool must_recheck_ = false;
    std::vector<suspect_notice> notices_;
    std::optional<time_point> notices_due_;
};

} // namespace trefoil
