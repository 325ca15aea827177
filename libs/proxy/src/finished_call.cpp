#include "finished_call.hpp"

#include <fmt/format.h>

namespace trefoil {
namespace {

log_event event_for(call_result result) {
    switch (result) {
    case call_result::served:
        return log_event::call_served;
    case call_result::served_late:
        return log_event::call_served_late;
    case call_result::refused:
        return log_event::call_refused;
    case call_result::abandoned:
        return log_event::call_abandoned;
    default:
        return log_event::call_failed;
    }
}

std::string or_dash(const std::string& text) {
    return text.empty() ? "-" : text;
}

} // namespace

log_class log_class_of(call_result result) {
    const bool is_routine = result == call_result::served || result == call_result::abandoned;
    return is_routine ? log_class::success : log_class::failure;
}

log_record to_record(const finished_call& call) {
    log_record record{event_for(call.result),
                      {{"id", or_dash(call.request_id)},
                       {"route", or_dash(call.route)},
                       {"service", or_dash(call.service.str())},
                       {"instance", or_dash(call.instance)},
                       {"end", std::string(name_of(call.result))},
                       {"status", std::to_string(call.status)},
                       {"cause", or_dash(call.cause)},
                       {"tries", std::to_string(call.attempts)},
                       {"took_ms", fmt::format("{:.0f}", to_ms(call.took))},
                       {"limit_ms", fmt::format("{:.0f}", to_ms(call.limit))},
                       {"config", std::to_string(call.config_version)}}};
    if (!call.workspace.empty()) {
        record.fields.emplace_back("workspace", call.workspace.str());
    }
    if (!call.key_digest.empty()) {
        record.fields.emplace_back("key", call.key_digest);
    }
    return record;
}

} // namespace trefoil
