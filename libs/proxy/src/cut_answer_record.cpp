#include "cut_answer_record.hpp"

#include <string>

#include <trefoil/http1/header_rules.hpp>

namespace trefoil {

log_record to_record(const http1::cut_answers& cut, answer_receiver receiver,
                     const header_field_names& fields) {
    const auto id = cut.last_answered == nullptr
                        ? std::string_view()
                        : find_header(cut.last_answered->headers, fields.request_id);
    return {log_event::answer_cut,
            {{"id", id.empty() ? "-" : std::string(id)},
             {"cause", std::string(name_of(cut.cause))},
             {"to", receiver == answer_receiver::caller ? "caller" : "node"},
             {"bytes", std::to_string(cut.unacknowledged_bytes)},
             {"silent_ms", std::to_string(cut.since_acknowledgement.count())},
             {"open", std::to_string(cut.open_requests)}}};
}

} // namespace trefoil
