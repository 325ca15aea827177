#include "target_announcement.hpp"

#include <charconv>
#include <cmath>

#include <fmt/format.h>

#include <trefoil/http1/header_rules.hpp>

namespace trefoil {
namespace {

constexpr std::string_view leaving_value = "1";

} // namespace

std::optional<double> decode_rate_limit(std::string_view text) {
    double value = 0;
    const auto* const end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, value, std::chars_format::fixed);
    if (parsed.ec != std::errc() || parsed.ptr != end || !std::isfinite(value) || value < 0) {
        return std::nullopt;
    }
    return value;
}

std::string encode_rate_limit(double requests_per_second) {
    return fmt::format("{:.3f}", requests_per_second);
}

target_announcement updated_announcement(const target_announcement& current,
                                         const header_field_names& fields,
                                         const std::vector<http_header>& headers) {
    auto updated = current;
    const auto limit = find_header(headers, fields.rate_limit);
    if (const auto decoded = decode_rate_limit(limit)) {
        updated.rate_limit = decoded;
    } else if (limit.empty() && !find_header(headers, fields.request_id).empty()) {
        updated.rate_limit.reset();
    }
    updated.is_leaving =
        current.is_leaving || find_header(headers, fields.leaving) == leaving_value;
    return updated;
}

} // namespace trefoil
