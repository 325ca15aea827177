#include <trefoil/node/refusal_answer.hpp>

#include <algorithm>

#include <fmt/format.h>

namespace trefoil {
namespace {

constexpr duration default_retry_after = 1s;

// True if a later attempt of the same request can succeed.
bool is_retryable(refusal reason) {
    switch (reason) {
    case refusal::bad_request:
    case refusal::too_large:
    case refusal::key_required:
    case refusal::key_invalid:
    case refusal::key_owner_gone:
    case refusal::quarantined:
    case refusal::cancelled:
        return false;
    default:
        return true;
    }
}

} // namespace

int http_status(refusal reason) {
    switch (reason) {
    case refusal::bad_request:
        return 400;
    case refusal::key_owner_gone:
        return 410;
    case refusal::too_large:
        return 413;
    case refusal::key_invalid:
        return 422;
    case refusal::key_required:
        return 428;
    case refusal::level:
    case refusal::chain_level:
    case refusal::kind_limit:
        return 429;
    case refusal::connection_lost:
        return 502;
    case refusal::deadline:
        return 504;
    default:
        return 503;
    }
}

http_answer make_refusal_answer(const answer_info& info, const std::string& idempotency_key) {
    http_answer answer;
    answer.status = http_status(info.reason);
    answer.headers.push_back({"content-type", "application/problem+json"});
    answer.headers.push_back({"trefoil-outcome", std::string(name_of(info.result))});
    if (is_retryable(info.reason)) {
        const auto wait = info.retry_after > 0us ? info.retry_after : default_retry_after;
        const auto seconds = std::max<duration::rep>(1, (wait.count() + 999'999) / 1'000'000);
        answer.headers.push_back({"retry-after", std::to_string(seconds)});
    }
    if (!idempotency_key.empty()) {
        answer.headers.push_back({"idempotency-key", idempotency_key});
    }
    answer.body = fmt::format(R"({{"type":"about:blank","title":"{}","status":{},"outcome":"{}"}})",
                              name_of(info.reason), answer.status, name_of(info.result));
    return answer;
}

} // namespace trefoil
