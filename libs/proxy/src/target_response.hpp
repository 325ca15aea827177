// Judges the answers of the target on this machine.
#pragma once

#include <trefoil/proxy/call_fields.hpp>
#include <trefoil/traffic/traffic_config.hpp>

#include "attempt.hpp"

namespace trefoil {

/// What an answer of the target is worth: a reply to pass on, a refusal if the target says that it
/// has not run the request, or a failure if the answer can't be the target's own. Statuses that
/// promise that a request was not run are passed on only with the target's word for it.
attempt_event judge_target_answer(const call_fields& fields, repeatability repeats,
                                  attempt_reply reply);

} // namespace trefoil
