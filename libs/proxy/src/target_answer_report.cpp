#include "target_answer_report.hpp"

#include <trefoil/http1/header_rules.hpp>

namespace trefoil {
namespace {

log_event event_for(answer_fate fate) {
    switch (fate) {
    case answer_fate::unusable:
        return log_event::answer_unusable;
    case answer_fate::discarded:
        return log_event::answer_discarded;
    default:
        return log_event::run_answered;
    }
}

std::string or_dash(const std::string& text) {
    return text.empty() ? "-" : text;
}

} // namespace

void describe_head(target_answer_report& report, const header_field_names& fields,
                   const http1::response_head& head) {
    report.status = head.status;
    report.echoed_id = find_header(head.headers, fields.request_id);
    report.stamp = find_header(head.headers, fields.answer_stamp);
}

log_class log_class_of(answer_fate fate) {
    return fate == answer_fate::passed_on ? log_class::success : log_class::failure;
}

log_record to_record(const target_answer_report& report) {
    return {event_for(report.fate),
            {{"id", or_dash(report.request_id)},
             {"cause", or_dash(report.cause)},
             {"status", std::to_string(report.status)},
             {"echoed", or_dash(report.echoed_id)},
             {"stamp", or_dash(report.stamp)},
             {"connection", std::to_string(report.use.connection)},
             {"request", std::to_string(report.use.request)}}};
}

} // namespace trefoil
