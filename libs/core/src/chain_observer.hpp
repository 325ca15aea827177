// Sees calls and answers pass and keeps the levels of the chain from them.
#pragma once

#include <unordered_map>

#include <trefoil/admission/chain_levels.hpp>

#include "core_state.hpp"

namespace trefoil {

/// Adds levels to answers for peers and takes in those that peers' answers carry. It works on
/// events and actions alone, so that the parts that make them need not know of it.
class chain_observer {
public:
    explicit chain_observer(core_state& state) : state_(state) {}

    /// Sees an event before the core acts on it.
    void before(const event& happened);

    /// Sees the actions of a step, and adds levels to its answers.
    void after(actions& todo);

private:
    struct peer_attempt {
        service_name service;
        call_side side = call_side::below;
    };

    void see(const call_arrived& arrived);
    void see(const attempt_answered& answered);
    void add_levels(respond& answer);
    std::uint32_t threshold_of(const std::string& kind) const;

    core_state& state_;
    level_reports reports_;
    std::unordered_map<call_id, incarnation_id> peer_calls_;
    std::unordered_map<attempt_id, peer_attempt> peer_attempts_;
};

} // namespace trefoil
