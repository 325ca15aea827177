#include <trefoil/report/request_story.hpp>

#include <algorithm>
#include <map>
#include <set>

#include <fmt/format.h>

namespace trefoil {
namespace {

/// Calls of a target have the id of the request during which they were made, a dot and more.
constexpr char call_separator = '.';
/// What happened so long before the end may be its cause.
constexpr duration look_back = 3s;
/// Clocks of machines differ by so much.
constexpr duration clock_slack = 300ms;
constexpr std::size_t most_evidence = 5;

bool is(const log_line& line, log_event event) {
    return line.number == static_cast<int>(event);
}

bool is_end(const log_line& line) {
    return is(line, log_event::call_served) || is(line, log_event::call_served_late) ||
           is(line, log_event::call_refused) || is(line, log_event::call_failed) ||
           is(line, log_event::call_abandoned);
}

bool is_bad_end(const log_line& line) {
    return is(line, log_event::call_refused) || is(line, log_event::call_failed);
}

story_end end_of(const log_line& line) {
    switch (static_cast<log_event>(line.number)) {
    case log_event::call_served:
        return story_end::served;
    case log_event::call_served_late:
        return story_end::served_late;
    case log_event::call_refused:
        return story_end::refused;
    case log_event::call_abandoned:
        return story_end::abandoned;
    default:
        return story_end::failed;
    }
}

std::size_t depth_of(std::string_view id) {
    return static_cast<std::size_t>(std::count(id.begin(), id.end(), call_separator));
}

} // namespace

std::string_view name_of(story_end end) {
    switch (end) {
    case story_end::not_found:
        return "not_found";
    case story_end::served:
        return "served";
    case story_end::served_late:
        return "served_late";
    case story_end::refused:
        return "refused";
    case story_end::failed:
        return "failed";
    case story_end::abandoned:
        return "abandoned";
    }
    return "unknown";
}

log_archive::log_archive(std::vector<log_line> lines) : lines_(std::move(lines)) {
    std::stable_sort(lines_.begin(), lines_.end(), [](const log_line& left, const log_line& right) {
        return left.at < right.at;
    });
}

std::vector<std::string> log_archive::unserved() const {
    std::vector<std::string> ids;
    std::set<std::string_view> seen;
    for (const auto& line : lines_) {
        const auto id = line.field("id");
        const bool is_callers = !id.empty() && id != "-" && depth_of(id) == 0;
        if (is_callers && is_bad_end(line) && seen.insert(id).second) {
            ids.emplace_back(id);
        }
    }
    return ids;
}

request_story log_archive::story_of(const std::string& id) const {
    request_story story;
    story.id = id;
    for (const auto& line : lines_) {
        const auto named = line.field("id");
        if (named == id || named.starts_with(id + call_separator)) {
            story.lines.push_back(line);
        }
        if (named == id && is_end(line)) {
            story.end = end_of(line);
        }
    }
    explain(story);
    return story;
}

void log_archive::explain(request_story& story) const {
    const auto end =
        std::find_if(story.lines.rbegin(), story.lines.rend(), [&](const log_line& line) {
            return is_end(line) && line.field("id") == story.id;
        });
    if (end == story.lines.rend()) {
        return;
    }
    const bool is_targets = end->field("end") == "target_error";
    const bool is_slow = end->field("end") == "timed_out" || story.end == story_end::served_late;
    const auto* call = is_targets || is_slow ? first_failed_call(story) : nullptr;
    if (call == nullptr) {
        explain_end(*end, story);
        return;
    }
    const auto failed_call = *call;
    explain_end(failed_call, story);
    story.cause = fmt::format("its call {} to {}: {}", failed_call.field("id"),
                              failed_call.field("service"), story.cause);
}

const log_line* log_archive::first_failed_call(const request_story& story) const {
    const log_line* found = nullptr;
    for (const auto& line : story.lines) {
        if (!is_bad_end(line) || line.field("id") == story.id) {
            continue;
        }
        const bool is_below_found =
            found != nullptr &&
            line.field("id").starts_with(std::string(found->field("id")) + call_separator);
        if (found == nullptr || is_below_found) {
            found = &line;
        }
    }
    // The line of a call is written before that of the run that made it, so a deeper one may come
    // first; one that failed above it is its consequence.
    return found;
}

void log_archive::explain_end(const log_line& end, request_story& story) const {
    if (is(end, log_event::call_refused)) {
        explain_refusal(end, story);
        return;
    }
    const auto how = end.field("end");
    if (how == "target_error") {
        story.cause = fmt::format("the target {} answered {} itself, none of its calls failed",
                                  end.field("instance"), end.field("status"));
    } else if (how == "timed_out") {
        story.cause = fmt::format("no answer of {} within the limit of {} ms after {} tries",
                                  end.field("service"), end.field("limit_ms"), end.field("tries"));
    } else if (how == "failed") {
        explain_lost_instance(end, story);
    } else if (how == "served_late") {
        story.cause = fmt::format("{} took {} ms in {} tries", end.field("instance"),
                                  end.field("took_ms"), end.field("tries"));
    } else if (how == "abandoned") {
        story.cause = fmt::format("the caller left after {} ms", end.field("took_ms"));
    }
}

void log_archive::explain_refusal(const log_line& end, request_story& story) const {
    const auto cause = end.field("cause");
    if (cause == "chain_level") {
        explain_shortage_below(end, story);
    } else if (cause == "overload" || cause == "deadline") {
        add_evidence(end, {log_event::run_refused}, end.field("id"), story);
        story.cause = fmt::format("no room at {}: its queues are longer than the request may wait",
                                  end.field("service"));
    } else if (cause == "no_instance" || cause == "target_down" || cause == "leaving") {
        add_evidence(end,
                     {log_event::instance_dropped, log_event::instance_leaving,
                      log_event::instance_ejected, log_event::instance_held},
                     end.field("service"), story);
        story.cause = fmt::format("no instance of {} in reach ({}) after {} tries",
                                  end.field("service"), cause, end.field("tries"));
    } else if (cause == "quarantined") {
        story.cause = "it ran at three deaths of targets and is blocked";
    } else if (cause == "no_table") {
        story.cause = "this machine has read no routes since its start";
    } else if (!cause.empty()) {
        story.cause = fmt::format("refused for {}", cause);
    }
}

void log_archive::explain_shortage_below(const log_line& end, request_story& story) const {
    std::map<std::string, std::uint32_t> refused_by_route;
    for (const auto& line : lines_) {
        const bool is_near = line.at <= end.at + clock_slack && line.at >= end.at - look_back;
        if (is_near && is(line, log_event::run_refused)) {
            ++refused_by_route[std::string(line.field("route"))];
            if (story.evidence.size() < most_evidence) {
                story.evidence.push_back(line);
            }
        }
    }
    const auto most = std::max_element(
        refused_by_route.begin(), refused_by_route.end(),
        [](const auto& left, const auto& right) { return left.second < right.second; });
    story.cause =
        most == refused_by_route.end()
            ? "calls of this route find no room or long queues further down"
            : fmt::format("calls of this route find no room further down; most refusals of the "
                          "last {} s are of route {}",
                          look_back / 1s, most->first);
}

void log_archive::explain_lost_instance(const log_line& end, request_story& story) const {
    add_evidence(end, {log_event::run_failed}, end.field("id"), story);
    add_evidence(end, {log_event::target_down, log_event::instance_ejected}, end.field("instance"),
                 story);
    const auto cause = end.field("cause");
    story.cause = fmt::format("{} of an instance of {} during the run, and no repeat {}", cause,
                              end.field("service"), "was allowed or succeeded");
}

void log_archive::add_evidence(const log_line& end, const std::vector<log_event>& events,
                               std::string_view value, request_story& story) const {
    for (const auto& line : lines_) {
        const bool is_near = line.at <= end.at + clock_slack && line.at >= end.at - look_back;
        const bool is_wanted = std::any_of(events.begin(), events.end(),
                                           [&](log_event event) { return is(line, event); });
        const bool names_it = std::any_of(line.fields.begin(), line.fields.end(),
                                          [&](const auto& field) { return field.second == value; });
        const bool is_free = story.evidence.size() < most_evidence;
        if (is_near && is_wanted && names_it && is_free) {
            story.evidence.push_back(line);
        }
    }
}

std::string to_text(const request_story& story) {
    auto text = fmt::format("{} {}: {}\n", story.id, name_of(story.end),
                            story.cause.empty() ? "the logs don't say why" : story.cause);
    for (const auto& line : story.lines) {
        text += fmt::format("  {}: {}\n", line.source, line.text);
    }
    for (const auto& line : story.evidence) {
        text += fmt::format("  beside it, {}: {}\n", line.source, line.text);
    }
    return text;
}

} // namespace trefoil
