// Classification of the responses of the target on this machine.
#pragma once

#include <string_view>

#include <trefoil/proxy/header_field_names.hpp>
#include <trefoil/traffic/traffic_config.hpp>

#include "attempt.hpp"

namespace trefoil {

/// The request that a response answers.
struct answered_request {
    std::string_view id;
    repeatability repeats = repeatability::at_most_once;
};

/// Classifies a response of the target: a reply to relay, a refusal if the target states that it
/// has not run the request, or a failure if the response cannot have been made by the target (a
/// success without the target's stamp or with a content encoding). For a request that must not be
/// repeated, a status other than 421 that implies that the request was not run is a failure unless
/// the target states explicitly that it has not run the request. A refusal that does not repeat the
/// id of the request is a failure too: it may be one of an earlier request on the same connection,
/// sent once more while this request runs.
attempt_event classify_target_response(const header_field_names& fields,
                                       const answered_request& request, attempt_reply reply);

} // namespace trefoil
