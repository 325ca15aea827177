// The platform's list of instances.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include <trefoil/base/endpoint.hpp>
#include <trefoil/base/ids.hpp>

namespace trefoil {

/// What the list says of an instance.
enum class member_state : std::uint8_t { live, leaving };

/// One instance with its node's addresses.
struct member {
    instance_id instance;
    service_name service;
    domain_name domain;
    region_name region;
    /// Where its node takes calls of other nodes.
    endpoint peer;
    /// Where its node takes control messages.
    endpoint control;
    member_state state = member_state::live;

    friend bool operator==(const member&, const member&) = default;
};

/// One line of the list that can't be used.
struct member_error {
    /// Line in the text, from 1.
    std::size_t line = 0;
    std::string problem;

    friend bool operator==(const member_error&, const member_error&) = default;
};

using member_errors = std::vector<member_error>;

/// Reads the list: CSV with the header `instance,service,domain,region,peer,control,state`. A list
/// with any error is refused whole.
std::variant<std::vector<member>, member_errors> parse_members(std::string_view text);

/// The header line of the list.
inline constexpr std::string_view member_header =
    "instance,service,domain,region,peer,control,state";

/// One line of the list, without its end.
std::string format_member(const member& entry);

} // namespace trefoil
