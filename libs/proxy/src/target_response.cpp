#include "target_response.hpp"

#include <trefoil/http1/header_rules.hpp>

namespace trefoil {
namespace {

/// True for statuses that imply that the request was not run.
bool implies_not_run(int status) {
    return status == 408 || status == 421 || status == 429 || status == 503;
}

refusal refusal_for(int status) {
    return status == 421 ? refusal::no_instance : refusal::overload;
}

} // namespace

attempt_event classify_target_response(const header_field_names& fields,
                                       const answered_request& request, attempt_reply reply) {
    const auto& head = reply.head;
    const bool is_not_executed = !find_header(head.headers, fields.not_executed).empty();
    if (head.status == 421 || (is_not_executed && implies_not_run(head.status))) {
        if (find_header(head.headers, fields.request_id) != request.id) {
            return attempt_failure{attempt_error::bad_answer};
        }
        return make_refusal(refusal_for(head.status), true);
    }
    if (implies_not_run(head.status) && request.repeats == repeatability::at_most_once) {
        return attempt_failure{attempt_error::bad_answer};
    }
    const bool is_success = head.status / 100 == 2;
    const bool has_stamp = !find_header(head.headers, fields.answer_stamp).empty();
    const bool is_encoded = !find_header(head.headers, "content-encoding").empty();
    if (is_success && (!has_stamp || is_encoded)) {
        return attempt_failure{attempt_error::bad_answer};
    }
    return reply;
}

} // namespace trefoil
