#include "short_services.hpp"

#include "local_response.hpp"

namespace trefoil {

std::optional<duration> wait_for_room(proxy_state& state, const call_terms& terms) {
    auto* shortages = state.dispatcher.shortages();
    if (shortages == nullptr || terms.parent) {
        return std::nullopt;
    }
    const auto& route = terms.matched_route->name;
    const auto position = shedding_position(terms.priority, terms.request_bucket, false);
    if (shortages->levels().admits(state.now(), route, position)) {
        return std::nullopt;
    }
    return shortages->levels().expected_wait(state.now(), route, position);
}

void note_shortage(proxy_state& state, const call_terms& terms,
                   const std::optional<shortage_level>& told) {
    auto* shortages = state.dispatcher.shortages();
    if (shortages == nullptr) {
        return;
    }
    shortages->levels().record(state.now(), terms.matched_route->name, terms.priority, told);
    if (terms.parent && told) {
        state.dispatcher.report_shortage(*terms.parent, *told);
    }
}

void count_share(proxy_state& state, const call_terms& terms, const share_outcome& outcome) {
    const auto* shortages = state.dispatcher.shortages();
    if (shortages == nullptr) {
        return;
    }
    share_sample sample;
    sample.workspace = terms.workspace;
    sample.priority = terms.priority;
    sample.is_nested = terms.parent.has_value();
    sample.is_refused = outcome.result == call_result::refused;
    sample.is_shed = sample.is_refused && outcome.status == refusal_status;
    sample.leads_to_short_service =
        shortages->levels().leads_to_short_service(state.now(), terms.matched_route->name);
    sample.began = state.now() - outcome.took;
    sample.took = outcome.took;
    sample.target_latency = terms.matched_route->target_latency;
    state.share_counts.record(sample);
}

} // namespace trefoil
