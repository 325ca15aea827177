#include <trefoil/report/request_trace.hpp>

#include <algorithm>
#include <map>
#include <set>

#include <fmt/format.h>

namespace trefoil {
namespace {

/// The id of a call that a target makes is the id of the request it was made for, followed by a dot
/// and a suffix.
constexpr char call_separator = '.';
/// Events up to this time before the result can be its cause.
constexpr duration evidence_window = 3s;
/// Assumed maximum difference between the clocks of two machines.
constexpr duration max_clock_skew = 300ms;
constexpr std::size_t max_evidence_lines = 5;

bool is(const log_line& line, log_event event) {
    return line.number == static_cast<int>(event);
}

bool is_result_line(const log_line& line) {
    return is(line, log_event::call_served) || is(line, log_event::call_served_late) ||
           is(line, log_event::call_refused) || is(line, log_event::call_failed) ||
           is(line, log_event::call_abandoned);
}

bool is_failure_line(const log_line& line) {
    return is(line, log_event::call_refused) || is(line, log_event::call_failed);
}

request_result result_of(const log_line& line) {
    switch (static_cast<log_event>(line.number)) {
    case log_event::call_served:
        return request_result::served;
    case log_event::call_served_late:
        return request_result::served_late;
    case log_event::call_refused:
        return request_result::refused;
    case log_event::call_abandoned:
        return request_result::abandoned;
    default:
        return request_result::failed;
    }
}

std::size_t depth_of(std::string_view id) {
    return static_cast<std::size_t>(std::count(id.begin(), id.end(), call_separator));
}

} // namespace

std::string_view name_of(request_result end) {
    switch (end) {
    case request_result::not_found:
        return "not_found";
    case request_result::served:
        return "served";
    case request_result::served_late:
        return "served_late";
    case request_result::refused:
        return "refused";
    case request_result::failed:
        return "failed";
    case request_result::abandoned:
        return "abandoned";
    }
    return "unknown";
}

log_archive::log_archive(std::vector<log_line> lines) : lines_(std::move(lines)) {
    std::stable_sort(lines_.begin(), lines_.end(), [](const log_line& left, const log_line& right) {
        return left.at < right.at;
    });
}

std::vector<std::string> log_archive::failed_requests() const {
    std::vector<std::string> ids;
    std::set<std::string_view> seen;
    for (const auto& line : lines_) {
        const auto id = line.field("id");
        const bool is_caller_request = !id.empty() && id != "-" && depth_of(id) == 0;
        if (is_caller_request && is_failure_line(line) && seen.insert(id).second) {
            ids.emplace_back(id);
        }
    }
    return ids;
}

request_trace log_archive::trace_of(const std::string& id) const {
    request_trace story;
    story.id = id;
    for (const auto& line : lines_) {
        const auto named = line.field("id");
        if (named == id || named.starts_with(id + call_separator)) {
            story.lines.push_back(line);
        }
        if (named == id && is_result_line(line)) {
            story.result = result_of(line);
        }
    }
    determine_cause(story);
    return story;
}

void log_archive::determine_cause(request_trace& story) const {
    const auto end =
        std::find_if(story.lines.rbegin(), story.lines.rend(), [&](const log_line& line) {
            return is_result_line(line) && line.field("id") == story.id;
        });
    if (end == story.lines.rend()) {
        return;
    }
    const bool is_target_error = end->field("end") == "target_error";
    const bool is_slow =
        end->field("end") == "timed_out" || story.result == request_result::served_late;
    const auto* call = is_target_error || is_slow ? deepest_failed_call(story) : nullptr;
    if (call == nullptr) {
        explain_result(*end, story);
        return;
    }
    const auto failed_call = *call;
    explain_result(failed_call, story);
    story.cause = fmt::format("its call {} to {}: {}", failed_call.field("id"),
                              failed_call.field("service"), story.cause);
}

const log_line* log_archive::deepest_failed_call(const request_trace& story) const {
    const log_line* found = nullptr;
    for (const auto& line : story.lines) {
        if (!is_failure_line(line) || line.field("id") == story.id) {
            continue;
        }
        const bool is_below_found =
            found != nullptr &&
            line.field("id").starts_with(std::string(found->field("id")) + call_separator);
        if (found == nullptr || is_below_found) {
            found = &line;
        }
    }
    // The result line of a call is written before that of the request that made it, so the line of
    // a deeper call can come first. A failure above it is its consequence.
    return found;
}

void log_archive::explain_result(const log_line& end, request_trace& story) const {
    if (is(end, log_event::call_refused)) {
        explain_refusal(end, story);
        return;
    }
    const auto how = end.field("end");
    if (how == "target_error") {
        story.cause = fmt::format("target {} answered with status {}, none of its calls failed",
                                  end.field("instance"), end.field("status"));
    } else if (how == "timed_out") {
        story.cause = fmt::format("no response from {} within the limit of {} ms after {} tries",
                                  end.field("service"), end.field("limit_ms"), end.field("tries"));
    } else if (how == "failed") {
        explain_instance_failure(end, story);
    } else if (how == "served_late") {
        story.cause = fmt::format("{} took {} ms in {} tries", end.field("instance"),
                                  end.field("took_ms"), end.field("tries"));
    } else if (how == "abandoned") {
        story.cause = fmt::format("the caller left after {} ms", end.field("took_ms"));
    }
}

void log_archive::explain_refusal(const log_line& end, request_trace& story) const {
    const auto cause = end.field("cause");
    if (cause == "chain_level") {
        explain_downstream_overload(end, story);
    } else if (cause == "overload" || cause == "deadline") {
        add_evidence(end, {log_event::run_refused}, end.field("id"), story);
        story.cause = fmt::format("no room at {}: its queues are longer than the request may wait",
                                  end.field("service"));
    } else if (cause == "no_instance" || cause == "target_down" || cause == "leaving") {
        add_evidence(end,
                     {log_event::instance_dropped, log_event::instance_leaving,
                      log_event::instance_ejected, log_event::instance_held},
                     end.field("service"), story);
        story.cause = fmt::format("no instance of {} available ({}) after {} tries",
                                  end.field("service"), cause, end.field("tries"));
    } else if (cause == "quarantined") {
        story.cause = "the request is quarantined: it was running during three crashes of targets";
    } else if (cause == "no_table") {
        story.cause = "this machine has read no table of routes since it started";
    } else if (!cause.empty()) {
        story.cause = fmt::format("refused: {}", cause);
    }
}

void log_archive::explain_downstream_overload(const log_line& end, request_trace& story) const {
    std::map<std::string, std::uint32_t> refused_by_route;
    for (const auto& line : lines_) {
        const bool is_near =
            line.at <= end.at + max_clock_skew && line.at >= end.at - evidence_window;
        if (is_near && is(line, log_event::run_refused)) {
            ++refused_by_route[std::string(line.field("route"))];
            if (story.evidence.size() < max_evidence_lines) {
                story.evidence.push_back(line);
            }
        }
    }
    const auto most = std::max_element(
        refused_by_route.begin(), refused_by_route.end(),
        [](const auto& left, const auto& right) { return left.second < right.second; });
    story.cause =
        most == refused_by_route.end()
            ? "calls of this route find no capacity or long queues further down"
            : fmt::format("calls of this route find no capacity further down; most refusals of the "
                          "last {} s are of route {}",
                          evidence_window / 1s, most->first);
}

void log_archive::explain_instance_failure(const log_line& end, request_trace& story) const {
    add_evidence(end, {log_event::run_failed}, end.field("id"), story);
    add_evidence(end, {log_event::target_down, log_event::instance_ejected}, end.field("instance"),
                 story);
    const auto cause = end.field("cause");
    story.cause = fmt::format("{} of an instance of {} while the request ran, and no retry {}",
                              cause, end.field("service"), "was allowed or succeeded");
}

void log_archive::add_evidence(const log_line& end, const std::vector<log_event>& events,
                               std::string_view value, request_trace& story) const {
    for (const auto& line : lines_) {
        const bool is_near =
            line.at <= end.at + max_clock_skew && line.at >= end.at - evidence_window;
        const bool is_wanted = std::any_of(events.begin(), events.end(),
                                           [&](log_event event) { return is(line, event); });
        const bool has_value =
            std::any_of(line.fields.begin(), line.fields.end(),
                        [&](const auto& field) { return field.second == value; });
        const bool has_space = story.evidence.size() < max_evidence_lines;
        if (is_near && is_wanted && has_value && has_space) {
            story.evidence.push_back(line);
        }
    }
}

std::string to_text(const request_trace& story) {
    auto text = fmt::format("{} {}: {}\n", story.id, name_of(story.result),
                            story.cause.empty() ? "the logs do not show the cause" : story.cause);
    for (const auto& line : story.lines) {
        text += fmt::format("  {}: {}\n", line.source, line.text);
    }
    for (const auto& line : story.evidence) {
        text += fmt::format("  related, {}: {}\n", line.source, line.text);
    }
    return text;
}

} // namespace trefoil
