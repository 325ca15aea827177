// What targets announce about themselves in the heads of their answers.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <trefoil/proxy/header_field_names.hpp>
#include <trefoil/wire/http_message.hpp>

namespace trefoil {

/// The state that a target has announced.
struct target_announcement {
    /// Requests per second that the target accepts from all machines together; empty if it has
    /// announced no limit.
    std::optional<double> rate_limit;
    /// True if the target is about to end.
    bool is_leaving = false;

    friend bool operator==(const target_announcement&, const target_announcement&) = default;
};

/// Decodes a rate limit in requests per second. Returns nothing if the text is not a decimal number
/// of at least 0.
std::optional<double> decode_rate_limit(std::string_view text);

/// Formats a rate limit so that decode_rate_limit() reads it.
std::string encode_rate_limit(double requests_per_second);

/// Returns what the target announces after an answer with these headers. A limit holds until an
/// answer lacks it. A limit that is malformed, and an answer that repeats no request id and so may
/// not be the target's own, leave the limit unchanged. A target that is leaving does not come back.
target_announcement updated_announcement(const target_announcement& current,
                                         const header_field_names& fields,
                                         const std::vector<http_header>& headers);

} // namespace trefoil
