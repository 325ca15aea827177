#include "peer_message.hpp"

#include <array>
#include <charconv>

#include <fmt/format.h>

#include <trefoil/base/overloaded.hpp>

namespace trefoil {
namespace {

/// Splits the text at a separator into exactly Count parts.
template <std::size_t Count>
std::optional<std::array<std::string_view, Count>> split(std::string_view text, char separator) {
    std::array<std::string_view, Count> parts;
    for (std::size_t i = 0; i < Count; ++i) {
        const auto end = text.find(separator);
        const bool is_last = i + 1 == Count;
        if (is_last != (end == std::string_view::npos)) {
            return std::nullopt;
        }
        parts[i] = text.substr(0, end);
        text.remove_prefix(is_last ? text.size() : end + 1);
    }
    return parts;
}

std::optional<std::uint32_t> number(std::string_view text) {
    std::uint32_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc() || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return value;
}

bool is_plain(unsigned char c) {
    return c > ' ' && c < 0x7F && c != '%';
}

/// Encodes a route's name, which may hold any bytes, as the value of a header field without spaces.
std::string encode_name(std::string_view name) {
    std::string out;
    for (const unsigned char c : name) {
        out += is_plain(c) ? std::string(1, static_cast<char>(c)) : fmt::format("%{:02X}", c);
    }
    return out;
}

std::string decode_name(std::string_view text) {
    std::string out;
    while (!text.empty()) {
        unsigned value = 0;
        const auto digits = text.substr(1, 2);
        const auto* end = digits.data() + digits.size();
        const bool is_encoded = text.front() == '%' && digits.size() == 2 &&
                                std::from_chars(digits.data(), end, value, 16).ptr == end;
        out += is_encoded ? static_cast<char>(value) : text.front();
        text.remove_prefix(is_encoded ? 3 : 1);
    }
    return out;
}

std::optional<refusal> refusal_named(std::string_view name) {
    for (const auto reason : all_refusals()) {
        if (name_of(reason) == name) {
            return reason;
        }
    }
    return std::nullopt;
}

constexpr std::string_view not_run = "not_run";
constexpr std::string_view unknown = "unknown";
constexpr std::string_view downstream_busy = "busy";
constexpr std::string_view downstream_failed = "failed";
constexpr std::string_view downstream_no_room = "no_room";

} // namespace

bool is_peer_field(std::string_view name) {
    return name.starts_with("trefoil-");
}

std::string encode_terms(const run_terms& terms) {
    return fmt::format("{} {} {} {} {} {} {}", terms.priority, terms.request_bucket,
                       terms.repeats == repeatability::at_most_once ? 1 : 0,
                       terms.is_nested ? 1 : 0, terms.is_retry ? 1 : 0,
                       whole_ms(terms.useful_time).count(), encode_name(terms.route));
}

std::optional<run_terms> decode_terms(std::string_view text) {
    const auto parts = split<7>(text, ' ');
    if (!parts) {
        return std::nullopt;
    }
    std::array<std::uint32_t, 6> numbers{};
    for (std::size_t i = 0; i < numbers.size(); ++i) {
        const auto value = number((*parts)[i]);
        if (!value) {
            return std::nullopt;
        }
        numbers[i] = *value;
    }
    run_terms terms;
    terms.priority = numbers[0];
    terms.request_bucket = numbers[1];
    terms.repeats = numbers[2] != 0 ? repeatability::at_most_once : repeatability::idempotent;
    terms.is_nested = numbers[3] != 0;
    terms.is_retry = numbers[4] != 0;
    terms.useful_time = std::chrono::milliseconds(numbers[5]);
    terms.route = decode_name((*parts)[6]);
    return terms;
}

std::string encode_milliseconds(duration value) {
    return std::to_string(whole_ms(value).count());
}

std::optional<duration> decode_milliseconds(std::string_view text) {
    std::int64_t value = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc() || value < 0) {
        return std::nullopt;
    }
    return std::chrono::milliseconds(value);
}

std::string_view encode_downstream(downstream_state downstream) {
    switch (downstream) {
    case downstream_state::none:
        return {};
    case downstream_state::busy:
        return downstream_busy;
    case downstream_state::failed:
        return downstream_failed;
    case downstream_state::no_room:
        return downstream_no_room;
    }
    return {};
}

downstream_state decode_downstream(std::string_view text) {
    if (text.empty()) {
        return downstream_state::none;
    }
    if (text == downstream_busy) {
        return downstream_state::busy;
    }
    return text == downstream_no_room ? downstream_state::no_room : downstream_state::failed;
}

std::string encode_load(const load_report& load) {
    const auto calls = fmt::format("{} {} {}", load.in_flight, load.queued, load.limit);
    return load.backlog_ms ? fmt::format("{} {}", calls, *load.backlog_ms) : calls;
}

std::optional<load_report> decode_load(std::string_view text) {
    const auto parts = split<4>(text, ' ');
    const auto calls = parts ? text.substr(0, text.rfind(' ')) : text;
    const auto three = split<3>(calls, ' ');
    if (!three) {
        return std::nullopt;
    }
    const auto in_flight = number((*three)[0]);
    const auto queued = number((*three)[1]);
    const auto limit = number((*three)[2]);
    const auto backlog = parts ? number((*parts)[3]) : std::nullopt;
    if (!in_flight || !queued || !limit || (parts && !backlog)) {
        return std::nullopt;
    }
    return load_report{*in_flight, *queued, *limit, backlog};
}

std::string encode_shortage(const shortage_level& level) {
    return fmt::format("{} {} {}", level.threshold, whole_ms(level.spent).count(),
                       encode_name(level.service.str()));
}

std::optional<shortage_level> decode_shortage(std::string_view text) {
    const auto parts = split<3>(text, ' ');
    if (!parts) {
        return std::nullopt;
    }
    const auto threshold = number((*parts)[0]);
    const auto spent = number((*parts)[1]);
    auto service = decode_name((*parts)[2]);
    if (!threshold || !spent || service.empty()) {
        return std::nullopt;
    }
    return shortage_level{service_name(std::move(service)), *threshold,
                          std::chrono::milliseconds(*spent)};
}

std::string encode_verdict(const peer_verdict& verdict) {
    return std::visit(
        overloaded{[](const attempt_refusal& refused) {
                       return fmt::format("{} {} {} {}", not_run, name_of(refused.reason),
                                          refused.reached_target ? 1 : 0,
                                          whole_ms(refused.retry_after).count());
                   },
                   [](const attempt_failure& failed) {
                       return fmt::format("{} {} 0 0", unknown, name_of(failed.error));
                   }},
        verdict);
}

std::optional<peer_verdict> decode_verdict(std::string_view text) {
    const auto parts = split<4>(text, ' ');
    if (!parts) {
        return std::nullopt;
    }
    const auto name = (*parts)[1];
    if ((*parts)[0] == unknown) {
        return attempt_failure{name == name_of(attempt_error::bad_answer)
                                   ? attempt_error::bad_answer
                                   : attempt_error::connection_lost};
    }
    const auto reason = refusal_named(name);
    const auto reached = number((*parts)[2]);
    const auto retry_after = number((*parts)[3]);
    if ((*parts)[0] != not_run || !reason || !reached || !retry_after) {
        return std::nullopt;
    }
    attempt_refusal refused;
    refused.reason = *reason;
    refused.reached_target = *reached != 0;
    refused.retry_after = std::chrono::milliseconds(*retry_after);
    return refused;
}

} // namespace trefoil
