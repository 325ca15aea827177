// What proxies tell each other beside a request and its answer.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include <trefoil/base/time.hpp>
#include <trefoil/traffic/traffic_config.hpp>
#include <trefoil/wire/call_context.hpp>
#include <trefoil/wire/http_message.hpp>

#include "attempt.hpp"

namespace trefoil {

/// Terms on which a target is asked to run a request.
struct run_terms {
    /// Names the kind of work; service times are learnt by it.
    std::string route;
    /// Of the whole request, 0 the most important.
    std::uint32_t priority = 0;
    /// Place of the whole request in the order of shedding within its priority, see share_of.
    std::uint32_t share = 0;
    repeatability repeats = repeatability::at_most_once;
    /// True for a call that a target made while it ran another request.
    bool is_nested = false;
    /// True if this run, or one further up, is a repeat.
    bool is_repeat = false;
    /// Time in which an answer is worth most.
    duration useful{0};
    /// Time until the caller stops waiting.
    duration remaining{0};

    friend bool operator==(const run_terms&, const run_terms&) = default;
};

/// Field with the terms, on requests between proxies. The time that remains travels in the
/// platform's own field.
inline constexpr std::string_view terms_field = "trefoil-terms";
/// Field with a verdict, on answers that a proxy makes itself.
inline constexpr std::string_view verdict_field = "trefoil-verdict";
/// Field on an answer with what is known of the calls that the target made for it.
inline constexpr std::string_view below_field = "trefoil-below";
/// Field with the load, on answers between proxies.
inline constexpr std::string_view load_field = "trefoil-load";

/// True for fields that only proxies may set.
bool is_peer_field(std::string_view lower_case_name);

std::string encode_terms(const run_terms& terms);
/// Nothing if the text is malformed. `remaining` stays zero.
std::optional<run_terms> decode_terms(std::string_view text);

/// Milliseconds as a field holds them.
std::string encode_milliseconds(duration value);
/// Nothing if the text is malformed or negative.
std::optional<duration> decode_milliseconds(std::string_view text);

std::string_view encode_below(state_below below);
state_below decode_below(std::string_view text);

std::string encode_load(const load_report& load);
std::optional<load_report> decode_load(std::string_view text);

using peer_verdict = std::variant<attempt_refusal, attempt_failure>;

/// The verdict without its load, which has a field of its own.
std::string encode_verdict(const peer_verdict& verdict);
/// Nothing if the text is malformed.
std::optional<peer_verdict> decode_verdict(std::string_view text);

} // namespace trefoil
