// Exchanges admission thresholds with other nodes by way of calls and answers.
#pragma once

#include <unordered_map>

#include <trefoil/admission/chain_levels.hpp>

#include "core_state.hpp"

namespace trefoil {

/// Adds admission thresholds to answers for peers and records those that the answers of peers
/// carry. The class works on events and actions only, so that the parts that produce them do not
/// depend on it.
class chain_observer {
public:
    explicit chain_observer(core_state& state) : state_(state) {}

    /// Must be called with each event before the core processes it.
    void on_event(const event& input);

    /// Must be called with the actions of each step. Adds thresholds to the answers among them.
    void on_actions(actions& step_actions);

private:
    struct peer_attempt {
        service_name service;
        call_origin origin = call_origin::local_target;
    };

    void observe(const call_arrived& arrived);
    void observe(const attempt_answered& answered);
    void add_thresholds(send_response& answer);
    /// The lower of this node's own threshold and the lowest one reported from downstream.
    std::uint32_t threshold_of(const std::string& kind) const;

    core_state& state_;
    level_reports reports_;
    std::unordered_map<call_id, incarnation_id> peer_calls_;
    std::unordered_map<attempt_id, peer_attempt> peer_attempts_;
};

} // namespace trefoil
