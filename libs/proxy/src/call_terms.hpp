// What is known of a request before it is sent anywhere.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include <trefoil/base/ids.hpp>
#include <trefoil/base/time.hpp>
#include <trefoil/http1/message.hpp>
#include <trefoil/traffic/traffic_config.hpp>

#include "proxy_state.hpp"

namespace trefoil {

/// The terms of a request that begins on this machine. They don't change while it lives.
struct call_terms {
    std::shared_ptr<const route> via;
    std::uint64_t config_version = 0;
    /// The part of the route that this request goes to.
    service_name service;
    /// When the caller or the route's timeout ends the wait.
    time_point give_up_at;
    /// The request during which the own target made this call.
    std::optional<std::string> parent;
    /// Place of the whole request in the order of shedding.
    std::uint32_t priority = 0;
    std::uint32_t share = 0;
    /// True if the run that made this call is a repeat.
    bool is_in_repeat = false;
    /// Headers that are passed on, without the instance's.
    std::vector<http_header> headers;

    bool is_idempotent() const { return via->repeats == repeatability::idempotent; }
};

/// Why a request has no terms.
enum class no_terms : std::uint8_t { no_config, no_route };

/// Finds the request's route and place, and counts it where requests are counted.
std::variant<call_terms, no_terms> read_call_terms(proxy_state& state,
                                                   const http1::request_head& head,
                                                   const std::string& request_id,
                                                   time_point arrived);

} // namespace trefoil
