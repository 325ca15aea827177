// What a call from a caller on this machine has to do with services that are short. Does nothing
// where the configuration lists no workspaces.
#pragma once

#include <optional>

#include <trefoil/admission/shortage_levels.hpp>
#include <trefoil/base/time.hpp>

#include "call_terms.hpp"
#include "proxy_metrics.hpp"
#include "proxy_state.hpp"

namespace trefoil {

/// Returns the time after which there may be room if the request begins here and a service that its
/// route leads to has no room for it; empty if the request may go on.
std::optional<duration> wait_for_room(proxy_state& state, const call_terms& terms);

/// Records what the answer to a call tells of a service that is short, also for the run that made
/// the call; `told` is empty if it tells of none.
void note_shortage(proxy_state& state, const call_terms& terms,
                   const std::optional<shortage_level>& told);

/// How a call from a caller on this machine has ended.
struct share_outcome {
    call_result result = call_result::served;
    /// Zero if the caller received no status or the response was streamed.
    int status = 0;
    duration took{0};

    friend bool operator==(const share_outcome&, const share_outcome&) = default;
};

/// Counts a call that has ended. Its terms have a route.
void count_share(proxy_state& state, const call_terms& terms, const share_outcome& outcome);

} // namespace trefoil
