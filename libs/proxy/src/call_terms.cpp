#include "call_terms.hpp"

#include <algorithm>

#include <trefoil/http1/header_rules.hpp>
#include <trefoil/traffic/call_tree.hpp>

#include "peer_message.hpp"

namespace trefoil {
namespace {

std::vector<http_header> forwarded_headers(const proxy_state& state,
                                           const http1::request_head& head) {
    const auto& fields = state.settings.header_names;
    auto headers = end_to_end_headers(head.headers);
    std::erase_if(headers, [&](const http_header& field) {
        return is_peer_field(field.name) || field.name == fields.expected_instance;
    });
    set_header(headers, fields.caller_service, state.settings.service.str());
    return headers;
}

/// Sets the priority and the request bucket. A request of a caller has the priority of its route,
/// and a bucket in the first part of the range if its caller is retrying. A call of a target has
/// the priority and the bucket of the run that made it, if the run is known.
void set_shedding_order(proxy_state& state, const std::string& request_id, time_point arrived,
                        duration time_left, call_terms& terms) {
    terms.parent = parent_request_id(request_id);
    terms.priority = terms.matched_route->priority;
    terms.request_bucket = request_bucket_of(request_id);
    if (!terms.parent) {
        terms.request_bucket = state.returning.shedding_rank(arrived, terms.matched_route->name,
                                                             terms.request_bucket, time_left);
        return;
    }
    const auto* parent_terms = state.dispatcher.terms_of_run(*terms.parent);
    if (parent_terms == nullptr) {
        return;
    }
    terms.priority = parent_terms->priority;
    terms.request_bucket = parent_terms->request_bucket;
    terms.is_within_retry = parent_terms->is_retry;
    if (terms.is_within_retry) {
        state.retry_limiter.record_upstream_retry(arrived, terms.service);
    }
}

} // namespace

std::variant<call_terms, terms_error> read_call_terms(proxy_state& state,
                                                      const http1::request_head& head,
                                                      const std::string& request_id,
                                                      time_point arrived) {
    if (state.routes == nullptr) {
        return terms_error::no_config;
    }
    call_terms terms;
    terms.config_version = state.routes->config().version;
    terms.matched_route = state.routes->find(find_header(head.headers, "host"), head.target);
    if (terms.matched_route == nullptr) {
        return terms_error::no_route;
    }
    const auto left =
        decode_milliseconds(find_header(head.headers, state.settings.header_names.remaining_time));
    const auto timeout = terms.matched_route->timeout;
    terms.response_deadline = arrived + std::min(left.value_or(timeout), timeout);
    if (left && *left < time_point::max() - arrived) {
        terms.caller_deadline = arrived + *left;
    }
    terms.service = state.rotation.next(*terms.matched_route);
    state.retry_limiter.record_request(arrived, terms.service);
    set_shedding_order(state, request_id, arrived, left.value_or(timeout), terms);
    terms.headers = forwarded_headers(state, head);
    return terms;
}

} // namespace trefoil
