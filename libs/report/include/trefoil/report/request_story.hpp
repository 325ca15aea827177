// Joins the lines of several machines into what happened to one request.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include <trefoil/report/log_line.hpp>

namespace trefoil {

/// How a request ended, by the log of the machine where it began.
enum class story_end : std::uint8_t { not_found, served, served_late, refused, failed, abandoned };

std::string_view name_of(story_end end);

/// What the logs say of one request.
struct request_story {
    std::string id;
    story_end end = story_end::not_found;
    /// Lines of the request and of the calls that targets made for it, by time.
    std::vector<log_line> lines;
    /// Why it ended so, in words; empty if the lines don't say.
    std::string cause;
    /// Lines of other requests or of beliefs that the cause rests on.
    std::vector<log_line> evidence;

    friend bool operator==(const request_story&, const request_story&) = default;
};

/// The logs of a fleet, ready to be asked for requests.
class log_archive {
public:
    /// Lines of all machines in any order.
    explicit log_archive(std::vector<log_line> lines);

    request_story story_of(const std::string& id) const;

    /// Ids of callers' requests that were refused or failed, without repetition, by time.
    std::vector<std::string> unserved() const;

    std::size_t size() const { return lines_.size(); }

private:
    void explain(request_story& story) const;
    /// The line that says how the first call to go wrong, the deepest of its chain, ended.
    const log_line* first_failed_call(const request_story& story) const;
    void explain_end(const log_line& end, request_story& story) const;
    void explain_refusal(const log_line& end, request_story& story) const;
    void explain_shortage_below(const log_line& end, request_story& story) const;
    void explain_lost_instance(const log_line& end, request_story& story) const;
    /// Adds lines of these numbers that name the value, from a while before to shortly after.
    void add_evidence(const log_line& end, const std::vector<log_event>& events,
                      std::string_view value, request_story& story) const;

    std::vector<log_line> lines_;
};

/// The story as text: its end and cause, then its lines.
std::string to_text(const request_story& story);

} // namespace trefoil
