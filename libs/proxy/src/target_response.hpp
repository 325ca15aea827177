// Classification of the responses of the target on this machine.
#pragma once

#include <trefoil/proxy/header_field_names.hpp>
#include <trefoil/traffic/traffic_config.hpp>

#include "attempt.hpp"

namespace trefoil {

/// Classifies a response of the target: a reply to relay, a refusal if the target states that it
/// has not run the request, or a failure if the response cannot have been made by the target (a
/// success without the target's stamp or with a content encoding). For a request that must not be
/// repeated, a status other than 421 that implies that the request was not run is a failure unless
/// the target states explicitly that it has not run the request.
attempt_event classify_target_response(const header_field_names& fields, repeatability repeats,
                                       attempt_reply reply);

} // namespace trefoil
