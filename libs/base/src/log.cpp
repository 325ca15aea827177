#include <trefoil/base/log.hpp>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <map>

#include <fmt/chrono.h>
#include <fmt/format.h>

namespace trefoil {
namespace {

const std::map<log_event, std::string_view>& event_names() {
    static const std::map<log_event, std::string_view> names = {
        {log_event::node_started, "node_started"},
        {log_event::node_stopping, "node_stopping"},
        {log_event::node_stopped, "node_stopped"},
        {log_event::drain_limit_reached, "drain_limit_reached"},
        {log_event::second_stop_signal, "second_stop_signal"},
        {log_event::setting_invalid, "setting_invalid"},
        {log_event::clock_gap, "clock_gap"},
        {log_event::log_lines_dropped, "log_lines_dropped"},
        {log_event::settings_reloaded, "settings_reloaded"},
        {log_event::document_accepted, "document_accepted"},
        {log_event::document_refused, "document_refused"},
        {log_event::platform_unreachable, "platform_unreachable"},
        {log_event::platform_reachable, "platform_reachable"},
        {log_event::serving_without_documents, "serving_without_documents"},
        {log_event::document_stale_ignored, "document_stale_ignored"},
        {log_event::document_repaired, "document_repaired"},
        {log_event::config_in_force, "config_in_force"},
        {log_event::config_ignored, "config_ignored"},
        {log_event::item_unreadable, "item_unreadable"},
        {log_event::registry_read_again, "registry_read_again"},
        {log_event::registry_reader_changed, "registry_reader_changed"},
        {log_event::registry_records_ignored, "registry_records_ignored"},
        {log_event::registry_era_changed, "registry_era_changed"},
        {log_event::target_down, "target_down"},
        {log_event::target_up, "target_up"},
        {log_event::level_raised, "level_raised"},
        {log_event::level_cleared, "level_cleared"},
        {log_event::instance_ejected, "instance_ejected"},
        {log_event::instance_returned, "instance_returned"},
        {log_event::instance_leaving, "instance_leaving"},
        {log_event::instance_listed, "instance_listed"},
        {log_event::instance_dropped, "instance_dropped"},
        {log_event::instance_held, "instance_held"},
        {log_event::own_target_changed, "own_target_changed"},
        {log_event::target_limit_changed, "target_limit_changed"},
        {log_event::target_leaving, "target_leaving"},
        {log_event::workspace_limited, "workspace_limited"},
        {log_event::workspace_unlimited, "workspace_unlimited"},
        {log_event::request_suspected, "request_suspected"},
        {log_event::request_cleared, "request_cleared"},
        {log_event::request_convicted, "request_convicted"},
        {log_event::bad_context_header, "bad_context_header"},
        {log_event::bad_control_message, "bad_control_message"},
        {log_event::bad_platform_answer, "bad_platform_answer"},
        {log_event::listener_failed, "listener_failed"},
        {log_event::call_refused, "call_refused"},
        {log_event::call_failed, "call_failed"},
        {log_event::call_served, "call_served"},
        {log_event::call_served_late, "call_served_late"},
        {log_event::attempt_repeated, "attempt_repeated"},
        {log_event::call_abandoned, "call_abandoned"},
        {log_event::run_refused, "run_refused"},
        {log_event::run_failed, "run_failed"},
        {log_event::answer_discarded, "answer_discarded"},
        {log_event::answer_unusable, "answer_unusable"},
        {log_event::run_answered, "run_answered"},
        {log_event::answer_cut, "answer_cut"},
    };
    return names;
}

bool needs_quotes(const std::string& value) {
    return value.empty() || std::any_of(value.begin(), value.end(), [](unsigned char c) {
               return c <= ' ' || c == '"' || c == '=' || c == 0x7F;
           });
}

std::string quoted(const std::string& value) {
    std::string out = "\"";
    for (const unsigned char c : value) {
        if (c == '"' || c == '\\') {
            out += '\\';
            out += static_cast<char>(c);
        } else if (c < ' ' || c == 0x7F) {
            out += fmt::format("\\x{:02x}", c);
        } else {
            out += static_cast<char>(c);
        }
    }
    return out + '"';
}

} // namespace

const std::vector<log_event>& all_log_events() {
    static const std::vector<log_event> events = [] {
        std::vector<log_event> all;
        for (const auto& entry : event_names()) {
            all.push_back(entry.first);
        }
        return all;
    }();
    return events;
}

std::string_view name_of(log_event event) {
    return event_names().at(event);
}

std::string format_record(const log_record& record) {
    auto line = fmt::format("{} {}", static_cast<int>(record.event), name_of(record.event));
    for (const auto& [key, value] : record.fields) {
        line += fmt::format(" {}={}", key, needs_quotes(value) ? quoted(value) : value);
    }
    return line;
}

std::string timestamped(const log_record& record) {
    const auto now =
        std::chrono::time_point_cast<std::chrono::milliseconds>(std::chrono::system_clock::now());
    return fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:03}Z {}",
                       fmt::gmtime(std::chrono::system_clock::to_time_t(now)),
                       now.time_since_epoch().count() % 1000, format_record(record));
}

void write_log(const log_record& record) {
    fmt::print(stderr, "{}\n", timestamped(record));
}

} // namespace trefoil
