// Correlates the logs of several machines to trace one request and to find the cause of its result.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <trefoil/report/log_line.hpp>

namespace trefoil {

/// Result of a request, according to the log of the machine that received it from the caller.
enum class request_result : std::uint8_t {
    not_found,
    served,
    served_late,
    refused,
    failed,
    abandoned
};

std::string_view name_of(request_result end);

/// Trace of one request, collected from the logs.
struct request_trace {
    std::string id;
    request_result result = request_result::not_found;
    /// Log lines of the request and of the calls that targets made for it, in order of time.
    std::vector<log_line> lines;
    /// Cause of the result as text. Empty if the logs don't show it.
    std::string cause;
    /// Log lines of other requests, instances or targets that support the cause.
    std::vector<log_line> evidence;

    friend bool operator==(const request_trace&, const request_trace&) = default;
};

/// Holds the log lines of a fleet and looks up requests in them.
class log_archive {
public:
    /// Takes the log lines of all machines in any order.
    explicit log_archive(std::vector<log_line> lines);

    /// Collects the log lines of a request and determines the cause of its result.
    request_trace trace_of(const std::string& id) const;

    /// Returns the ids of callers' requests that were refused or failed, in order of time and
    /// without duplicates. Calls that targets made are not included.
    std::vector<std::string> failed_requests() const;

    /// Returns the number of log lines.
    std::size_t size() const { return lines_.size(); }

private:
    void determine_cause(request_trace& story) const;
    /// Returns the result line of the earliest failed call, or of the deepest failed call below it.
    /// Returns null if no call failed.
    const log_line* deepest_failed_call(const request_trace& story) const;
    void explain_result(const log_line& end, request_trace& story) const;
    void explain_refusal(const log_line& end, request_trace& story) const;
    void explain_downstream_overload(const log_line& end, request_trace& story) const;
    void explain_instance_failure(const log_line& end, request_trace& story) const;
    /// Adds lines of these events that have a field with the value. Considers lines from a few
    /// seconds before the result until shortly after it, since the clocks of machines differ.
    void add_evidence(const log_line& end, const std::vector<log_event>& events,
                      std::string_view value, request_trace& story) const;

    std::vector<log_line> lines_;
};

/// Formats a trace as text: the result and its cause, then the log lines.
std::string to_text(const request_trace& story);

} // namespace trefoil
