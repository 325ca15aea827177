#include <trefoil/config_service/config_client.hpp>

#include <charconv>

#include <fmt/format.h>

#include <trefoil/base/overloaded.hpp>
#include <trefoil/http1/header_rules.hpp>

namespace trefoil {
namespace {

/// Time allowed for an answer beyond the wait time of the read.
constexpr std::chrono::milliseconds answer_grace{1000};
constexpr int status_ok = 200;
constexpr int status_no_content = 204;
constexpr int status_not_modified = 304;

} // namespace

std::string platform_path(const platform_read& read) {
    return fmt::format("/v1/kv/{}?after={}&wait={}", name_of(read.document), read.after.value,
                       read.wait.count() / 1000);
}

platform_result read_platform_answer(const http_answer& answer) {
    if (answer.status == status_no_content || answer.status == status_not_modified) {
        return platform_unchanged{};
    }
    const auto header = find_header(answer.headers, "revision");
    std::uint64_t value = 0;
    const auto [end, error] = std::from_chars(header.data(), header.data() + header.size(), value);
    const bool is_number = error == std::errc{} && end == header.data() + header.size();
    if (answer.status != status_ok || !is_number || value == 0 ||
        answer.body.size() > max_document_bytes) {
        return platform_error::bad_answer;
    }
    return platform_document{{value}, answer.body};
}

void platform_client::read(const platform_read& query, done_handler done) {
    http_request request;
    request.method = "GET";
    request.path = platform_path(query);
    request.service = service_name(to_string(platform_));
    exchange_limits limits;
    limits.timeout = whole_ms(query.wait) + answer_grace;
    limits.max_answer_bytes = max_document_bytes;
    client_.send(platform_, request, limits, [done = std::move(done)](const exchange_result& r) {
        std::visit(overloaded{
                       [&](const http_answer& answer) { done(read_platform_answer(answer)); },
                       [&](exchange_failure) { done(platform_error::unreachable); },
                   },
                   r);
    });
}

} // namespace trefoil
