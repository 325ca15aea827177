#include "message_rules.hpp"

#include <charconv>

#include <fmt/format.h>

#include <trefoil/base/error.hpp>
#include <trefoil/base/hash.hpp>
#include <trefoil/base/overloaded.hpp>
#include <trefoil/http1/header_rules.hpp>
#include <trefoil/node/refusal_answer.hpp>
#include <trefoil/wire/codec.hpp>

namespace trefoil {
namespace {

constexpr std::string_view internal_header_prefix = "trefoil-";
constexpr std::string_view baggage_header = "baggage";

std::vector<http_header> without_internal_headers(std::vector<http_header> headers) {
    std::erase_if(headers, [](const http_header& field) {
        return field.name.starts_with(internal_header_prefix);
    });
    return headers;
}

// Replaces the baggage member that carries the call context; an empty value only removes it.
std::vector<http_header> with_baggage(std::vector<http_header> headers, const std::string& value) {
    auto members = strip_baggage(find_header(headers, baggage_header));
    headers = without_header(std::move(headers), baggage_header);
    if (!value.empty()) {
        members += fmt::format("{}{}={}", members.empty() ? "" : ",", baggage_member, value);
    }
    if (!members.empty()) {
        headers.push_back({std::string(baggage_header), members});
    }
    return headers;
}

std::string host_name(const std::string& host) {
    return host.substr(0, host.find(':'));
}

bool is_address(const std::string& host) {
    return host.empty() || parse_endpoint(host).ok() || parse_endpoint(host + ":1").ok();
}

attempt_failure to_attempt_failure(exchange_failure failure) {
    switch (failure) {
    case exchange_failure::not_sent:
        return attempt_failure::not_sent;
    case exchange_failure::connection_lost:
        return attempt_failure::connection_lost;
    case exchange_failure::timed_out:
        return attempt_failure::timed_out;
    case exchange_failure::answer_too_large:
        return attempt_failure::answer_too_large;
    case exchange_failure::bad_answer:
        return attempt_failure::bad_answer;
    }
    return attempt_failure::bad_answer;
}

bool parse_hex(std::string_view text, std::uint64_t& value) {
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value, 16);
    return error == std::errc{} && end == text.data() + text.size();
}

answer_ptr sanitized_answer(http_answer answer) {
    answer.headers = without_internal_headers(std::move(answer.headers));
    return std::make_shared<const http_answer>(std::move(answer));
}

} // namespace

http_request clean_caller_request(http_request request, const service_name& local_service) {
    const auto credentials = find_header(request.headers, "authorization");
    if (!credentials.empty()) {
        request.caller = fmt::format("credentials-{:016x}", stable_hash(credentials));
    }
    request.service = is_address(request.service.str())
                          ? local_service
                          : service_name(host_name(request.service.str()));
    request.headers = with_baggage(without_internal_headers(std::move(request.headers)), "");
    return request;
}

absl::StatusOr<std::optional<call_context>> app_context(const http_request& request) {
    const auto value = find_baggage(find_header(request.headers, baggage_header));
    if (value.empty()) {
        return std::optional<call_context>();
    }
    const auto context = decode_context(value);
    if (!context.ok()) {
        return context.status();
    }
    return std::optional(*context);
}

absl::StatusOr<peer_call> read_peer_call(http_request request) {
    peer_call call;
    const auto context_text = find_header(request.headers, context_header);
    if (!context_text.empty()) {
        auto context = decode_context(context_text);
        if (!context.ok()) {
            return context.status();
        }
        call.context = *std::move(context);
    }
    if (!parse_hex(find_header(request.headers, sender_header), call.sender.value)) {
        return make_error(wire_failure::bad_message,
                          "trefoil-sender header of a peer's call is missing or malformed");
    }
    request.caller = find_header(request.headers, caller_header);
    request.service = service_name(host_name(request.service.str()));
    request.headers = without_internal_headers(std::move(request.headers));
    call.request = std::move(request);
    return call;
}

http_request to_target_request(const http_request& request, const call_context& context) {
    auto sent = request;
    sent.headers = with_baggage(without_internal_headers(request.headers), encode_context(context));
    return sent;
}

http_request to_peer_request(const http_request& request,
                             const std::optional<call_context>& context, incarnation_id self) {
    auto sent = request;
    sent.headers = with_baggage(without_internal_headers(request.headers), "");
    if (context) {
        sent.headers.push_back({std::string(context_header), encode_context(*context)});
    }
    sent.headers.push_back({std::string(sender_header), fmt::format("{:x}", self.value)});
    if (!request.caller.empty()) {
        sent.headers.push_back({std::string(caller_header), request.caller});
    }
    return sent;
}

event target_event(attempt_id attempt, exchange_result result) {
    return std::visit(
        overloaded{
            [&](http_answer& answer) -> event {
                answer_info info;
                info.result = find_header(answer.headers, "trefoil-outcome") == "not_run"
                                  ? outcome::not_run
                                  : outcome::completed;
                return attempt_answered{attempt, sanitized_answer(std::move(answer)), info};
            },
            [&](exchange_failure failure) -> event {
                return attempt_failed{attempt, to_attempt_failure(failure)};
            },
        },
        result);
}

event peer_event(attempt_id attempt, exchange_result result) {
    return std::visit(
        overloaded{
            [&](http_answer& answer) -> event {
                auto info = decode_answer_info(find_header(answer.headers, answer_header));
                if (!info.ok()) {
                    return attempt_failed{attempt, attempt_failure::bad_answer};
                }
                const bool is_completed = info->result == outcome::completed;
                return attempt_answered{
                    attempt, is_completed ? sanitized_answer(std::move(answer)) : nullptr,
                    *std::move(info)};
            },
            [&](exchange_failure failure) -> event {
                return attempt_failed{attempt, to_attempt_failure(failure)};
            },
        },
        result);
}

http_answer to_peer_answer(const answer_ptr& answer, const answer_info& info) {
    http_answer sent;
    if (answer) {
        sent = *answer;
    } else {
        sent.status = http_status(info.reason);
    }
    sent.headers.push_back({std::string(answer_header), encode_answer_info(info)});
    return sent;
}

http_answer to_caller_answer(const answer_ptr& answer, const answer_info& info,
                             const std::string& idempotency_key) {
    if (!answer) {
        return make_refusal_answer(info, idempotency_key);
    }
    auto sent = *answer;
    sent.headers.push_back({"trefoil-outcome", std::string(name_of(info.result))});
    return sent;
}

} // namespace trefoil
