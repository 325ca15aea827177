#include "local_response.hpp"

#include <algorithm>

#include <fmt/format.h>

namespace trefoil {
namespace {

constexpr duration shortest_retry = 150ms;
constexpr duration longest_retry = 2s;
/// How much later each priority comes back, as a share of the time of the highest.
constexpr double stretch_per_priority = 0.25;
constexpr std::uint32_t highest_stretched_priority = 4;

std::string_view reason_of(int status) {
    switch (status) {
    case 404:
        return "Not Found";
    case 400:
        return "Bad Request";
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

http1::response_head own_answer(int status) {
    http1::response_head head;
    head.status = status;
    head.reason = std::string(reason_of(status));
    return head;
}

http1::response_head refusal_answer(duration retry_after) {
    auto head = own_answer(503);
    head.headers.push_back({"retry-after", fmt::format("{:.3f}", to_seconds(retry_after))});
    return head;
}

duration retry_time(duration expected_wait, std::uint32_t priority, random_source& random) {
    const auto base = std::clamp(expected_wait, shortest_retry, longest_retry);
    const double stretch =
        1.0 + stretch_per_priority * std::min(priority, highest_stretched_priority);
    const double spread = 0.8 + random.unit();
    return duration(
        static_cast<duration::rep>(static_cast<double>(base.count()) * stretch * spread));
}

} // namespace trefoil
