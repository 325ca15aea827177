#include "call_terms.hpp"

#include <algorithm>

#include <trefoil/http1/header_rules.hpp>
#include <trefoil/traffic/call_tree.hpp>

#include "peer_message.hpp"

namespace trefoil {
namespace {

std::vector<http_header> headers_to_pass(const proxy_state& state,
                                         const http1::request_head& head) {
    const auto& fields = state.settings.fields;
    auto headers = end_to_end(head.headers);
    std::erase_if(headers, [&](const http_header& field) {
        return is_peer_field(field.name) || field.name == fields.expected_instance;
    });
    set_header(headers, fields.caller_service, state.settings.service.str());
    return headers;
}

/// A caller's own request has its route's priority; a call has the place of the whole request that
/// the run belongs to, if the run is known.
void place_in_tree(proxy_state& state, const std::string& request_id, time_point arrived,
                   duration time_left, call_terms& terms) {
    terms.parent = parent_of(request_id);
    terms.priority = terms.via->priority;
    terms.share = share_of(request_id);
    if (!terms.parent) {
        terms.share = state.returning.place(arrived, terms.via->name, terms.share, time_left);
        return;
    }
    const auto* above = state.gate.terms_of_run(*terms.parent);
    if (above == nullptr) {
        return;
    }
    terms.priority = above->priority;
    terms.share = above->share;
    terms.is_in_repeat = above->is_repeat;
    if (terms.is_in_repeat) {
        state.repeats.repeated_above(arrived, terms.service);
    }
}

} // namespace

std::variant<call_terms, no_terms> read_call_terms(proxy_state& state,
                                                   const http1::request_head& head,
                                                   const std::string& request_id,
                                                   time_point arrived) {
    if (state.routes == nullptr) {
        return no_terms::no_config;
    }
    call_terms terms;
    terms.config_version = state.routes->config().version;
    terms.via = state.routes->find(find_header(head.headers, "host"), head.target);
    if (terms.via == nullptr) {
        return no_terms::no_route;
    }
    const auto left =
        decode_milliseconds(find_header(head.headers, state.settings.fields.time_left));
    const auto timeout = terms.via->timeout;
    terms.give_up_at = arrived + std::min(left.value_or(timeout), timeout);
    terms.service = state.rotation.next(*terms.via);
    state.repeats.requested(arrived, terms.service);
    place_in_tree(state, request_id, arrived, left.value_or(timeout), terms);
    terms.headers = headers_to_pass(state, head);
    return terms;
}

} // namespace trefoil
