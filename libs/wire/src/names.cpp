#include <trefoil/wire/call_context.hpp>
#include <trefoil/wire/control_message.hpp>

namespace trefoil {

std::string_view name_of(outcome value) {
    switch (value) {
    case outcome::not_run:
        return "not_run";
    case outcome::completed:
        return "completed";
    case outcome::unknown:
        return "unknown";
    }
    return "unknown";
}

const std::vector<refusal>& all_refusals() {
    static const std::vector<refusal> values = [] {
        std::vector<refusal> all;
        for (int i = 1; i <= static_cast<int>(last_refusal); ++i) {
            all.push_back(static_cast<refusal>(i));
        }
        return all;
    }();
    return values;
}

std::string_view name_of(refusal value) {
    static constexpr std::string_view names[] = {
        "none",           "overload",       "level",           "chain_level",
        "deadline",       "no_instance",    "leaving",         "quarantined",
        "kind_limit",     "bad_request",    "too_large",       "key_required",
        "key_invalid",    "key_owner_gone", "no_retry_tokens", "connection_lost",
        "cancelled",      "target_down",    "no_table",        "stale_keys",
        "workspace_limit"};
    return names[static_cast<std::size_t>(value)];
}

std::string_view name_of(document_id document) {
    return document == document_id::table ? "table" : "instances";
}

std::string_view name_of(suspicion state) {
    switch (state) {
    case suspicion::suspected:
        return "suspected";
    case suspicion::convicted:
        return "convicted";
    case suspicion::cleared:
        return "cleared";
    }
    return "suspected";
}

} // namespace trefoil
