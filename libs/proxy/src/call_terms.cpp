#include "call_terms.hpp"

#include <algorithm>

#include <trefoil/http1/header_rules.hpp>
#include <trefoil/traffic/call_tree.hpp>
#include <trefoil/workspace/credentials.hpp>
#include <trefoil/workspace/workspace_table.hpp>

#include "peer_message.hpp"

namespace trefoil {
namespace {

std::vector<http_header> forwarded_headers(const proxy_state& state,
                                           const http1::request_head& head,
                                           const workspace_name& workspace) {
    const auto& fields = state.settings.header_names;
    const bool has_workspaces = state.routes->workspaces() != nullptr;
    auto headers = end_to_end_headers(head.headers);
    std::erase_if(headers, [&](const http_header& field) {
        const bool is_of_workspaces =
            field.name == fields.workspace || field.name == fields.credentials.field;
        return is_peer_field(field.name) || field.name == fields.expected_instance ||
               (has_workspaces && is_of_workspaces);
    });
    set_header(headers, fields.caller_service, state.settings.service.str());
    if (!workspace.empty()) {
        set_header(headers, fields.workspace, workspace.str());
    }
    return headers;
}

/// Sets the workspace by the key that the request carries.
std::optional<terms_problem> set_workspace_of_key(const proxy_state& state, std::string_view key,
                                                  call_terms& terms) {
    const auto digest = key_digest(key, state.key_salt);
    if (!state.are_keys_current()) {
        return terms_problem{terms_error::stale_keys, {}, digest};
    }
    const auto found = state.routes->workspaces()->find(key);
    if (found == nullptr) {
        return terms_problem{terms_error::no_workspace, credentials_error::unknown, digest};
    }
    terms.workspace = found->name;
    terms.priority = state.routes->priorities().priority_of(found.get(), *terms.matched_route);
    terms.limited_workspace = found->limit ? found : nullptr;
    return std::nullopt;
}

/// Sets the workspace and the priority of the whole request, and the run during which the local
/// target made this call. A request of a caller has the workspace of its key, and the priority of
/// that workspace or of its route. A call of a target carries no key; it has the workspace and the
/// priority of the run that made it, if the run is known. A request with a key is never a call of a
/// target, whatever its id. A run without a workspace, that of a public route, gives its calls no
/// access to routes that need a key: anybody can name a request like one of them.
std::optional<terms_problem> set_origin(const proxy_state& state, const http1::request_head& head,
                                        const std::string& request_id, call_terms& terms) {
    terms.priority = state.routes->priorities().priority_of(nullptr, *terms.matched_route);
    terms.parent = parent_request_id(request_id);
    const bool needs_key = state.routes->workspaces() != nullptr && !terms.matched_route->is_public;
    const auto key = read_key(state.settings.header_names.credentials, head.headers);
    if (needs_key && std::holds_alternative<std::string_view>(key)) {
        terms.parent.reset();
        return set_workspace_of_key(state, std::get<std::string_view>(key), terms);
    }
    const auto* run = terms.parent ? state.dispatcher.terms_of_run(*terms.parent) : nullptr;
    const bool has_no_key = key == decltype(key)(credentials_error::missing);
    const bool has_workspace = run != nullptr && !run->workspace.empty();
    if (needs_key && (!has_workspace || !has_no_key)) {
        const bool is_of_unknown_run = terms.parent && run == nullptr && has_no_key;
        return terms_problem{is_of_unknown_run ? terms_error::unknown_run
                                               : terms_error::no_workspace,
                             std::get<credentials_error>(key),
                             {}};
    }
    if (run != nullptr) {
        terms.workspace = run->workspace;
        terms.priority = run->priority;
    }
    return std::nullopt;
}

/// Sets the request bucket. That of a caller's request is in the first part of the range if its
/// caller is retrying. A call of a target has the bucket of the run that made it, if the run is
/// known.
void set_shedding_order(proxy_state& state, const std::string& request_id, time_point arrived,
                        duration time_left, call_terms& terms) {
    terms.request_bucket = request_bucket_of(request_id);
    if (!terms.parent) {
        terms.request_bucket = state.returning.shedding_rank(arrived, terms.matched_route->name,
                                                             terms.request_bucket, time_left);
        return;
    }
    const auto* run = state.dispatcher.terms_of_run(*terms.parent);
    if (run == nullptr) {
        return;
    }
    terms.request_bucket = run->request_bucket;
    terms.is_within_retry = run->is_retry;
    if (terms.is_within_retry) {
        state.retry_limiter.record_upstream_retry(arrived, terms.service);
    }
}

} // namespace

std::variant<call_terms, terms_problem> read_call_terms(proxy_state& state,
                                                        const http1::request_head& head,
                                                        const std::string& request_id,
                                                        time_point arrived) {
    if (state.routes == nullptr) {
        return terms_problem{terms_error::no_config, {}, {}};
    }
    call_terms terms;
    terms.config_version = state.routes->config().version;
    terms.matched_route = state.routes->find(find_header(head.headers, "host"), head.target);
    if (terms.matched_route == nullptr) {
        return terms_problem{terms_error::no_route, {}, {}};
    }
    if (auto problem = set_origin(state, head, request_id, terms)) {
        return *problem;
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
    terms.headers = forwarded_headers(state, head, terms.workspace);
    return terms;
}

void set_place_by_share(proxy_state& state, time_point arrived, call_terms& terms) {
    const auto* shortages = state.dispatcher.shortages();
    if (shortages == nullptr || terms.parent) {
        return;
    }
    const double fraction = (terms.request_bucket + 0.5) / request_bucket_count;
    const double cost = shortages->levels().relative_cost(terms.matched_route->name);
    const double place =
        state.shares.place(arrived, terms.priority, terms.workspace, fraction, cost);
    terms.request_bucket = std::min(static_cast<std::uint32_t>(place * request_bucket_count),
                                    request_bucket_count - 1);
}

} // namespace trefoil
