// Log events and their text format. docs/EVENTS.md documents the events for operators.
#pragma once

#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace trefoil {

/// All events that a process can log. The number is part of the output and is never reused.
enum class log_event : int {
    node_started = 1001,
    node_stopping = 1002,
    node_stopped = 1003,
    drain_limit_reached = 1004,
    second_stop_signal = 1005,
    setting_invalid = 1006,
    clock_gap = 1007,
    log_lines_dropped = 1008,
    settings_reloaded = 1009,
    document_accepted = 2001,
    document_refused = 2002,
    platform_unreachable = 2003,
    platform_reachable = 2004,
    serving_without_documents = 2005,
    document_stale_ignored = 2006,
    document_repaired = 2007,
    config_in_force = 2008,
    config_ignored = 2009,
    item_unreadable = 2010,
    registry_read_again = 2011,
    registry_reader_changed = 2012,
    registry_records_ignored = 2013,
    registry_era_changed = 2014,
    target_down = 3001,
    target_up = 3002,
    level_raised = 3003,
    level_cleared = 3004,
    instance_ejected = 3005,
    instance_returned = 3006,
    instance_leaving = 3007,
    instance_listed = 3008,
    instance_dropped = 3009,
    instance_held = 3010,
    own_target_changed = 3011,
    target_limit_changed = 3012,
    target_leaving = 3013,
    workspace_limited = 3014,
    workspace_unlimited = 3015,
    request_suspected = 4001,
    request_cleared = 4002,
    request_convicted = 4003,
    bad_context_header = 5001,
    bad_control_message = 5002,
    bad_platform_answer = 5003,
    listener_failed = 5004,
    call_refused = 6001,
    call_failed = 6002,
    call_served = 6003,
    call_served_late = 6004,
    attempt_repeated = 6005,
    call_abandoned = 6006,
    run_refused = 6007,
    run_failed = 6008,
    answer_discarded = 6009,
    answer_unusable = 6010,
    run_answered = 6011,
    answer_cut = 6012,
};

/// Returns all events in ascending order of their numbers.
const std::vector<log_event>& all_log_events();

/// Returns the event's name, words joined by underscores.
std::string_view name_of(log_event event);

/// A log line: an event and its key-value fields in output order.
struct log_record {
    log_event event;
    std::vector<std::pair<std::string, std::string>> fields;

    friend bool operator==(const log_record&, const log_record&) = default;
};

/// Formats the record as one line without a line end: number, name and key=value fields. Values
/// that are empty or contain blanks, control characters, quotes or equals signs are quoted.
std::string format_record(const log_record& record);

/// Formats the record as format_record() does, preceded by the UTC wall-clock time.
std::string timestamped(const log_record& record);

/// Writes the timestamped record to standard error.
void write_log(const log_record& record);

} // namespace trefoil
