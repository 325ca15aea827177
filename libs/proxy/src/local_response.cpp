#include "local_response.hpp"

#include <algorithm>

#include <fmt/format.h>

namespace trefoil {
namespace {

constexpr duration min_retry_delay = 150ms;
constexpr duration max_retry_delay = 2s;
constexpr duration max_limit_delay = 10s;
/// Increase of the retry delay for each step of lower priority, as a share of the delay of the
/// highest priority.
constexpr double stretch_per_priority = 0.25;
/// Priorities with a higher number have the same retry delay as this one.
constexpr std::uint32_t highest_stretched_priority = 4;

std::string_view reason_phrase(int status) {
    switch (status) {
    case 404:
        return "Not Found";
    case 400:
        return "Bad Request";
    case 401:
        return "Unauthorized";
    case 429:
        return "Too Many Requests";
    case 502:
        return "Bad Gateway";
    case 503:
        return "Service Unavailable";
    case 504:
        return "Gateway Timeout";
    default:
        return "OK";
    }
}

} // namespace

http1::response_head local_response(int status) {
    http1::response_head head;
    head.status = status;
    head.reason = std::string(reason_phrase(status));
    return head;
}

http1::response_head refusal_response(duration retry_after, int status) {
    auto head = local_response(status);
    head.headers.push_back({"retry-after", fmt::format("{:.3f}", to_seconds(retry_after))});
    return head;
}

duration retry_delay(duration expected_wait, std::uint32_t priority, random_source& random) {
    const auto base = std::clamp(expected_wait, min_retry_delay, max_retry_delay);
    const double stretch =
        1.0 + stretch_per_priority * std::min(priority, highest_stretched_priority);
    const double spread = 0.8 + random.unit();
    return duration(
        static_cast<duration::rep>(static_cast<double>(base.count()) * stretch * spread));
}

duration limit_retry_delay(duration time_to_room, random_source& random) {
    const auto base = std::clamp(time_to_room, min_retry_delay, max_limit_delay);
    return duration(
        static_cast<duration::rep>(static_cast<double>(base.count()) * (1 + random.unit())));
}

} // namespace trefoil
