// The platform's list of instances: its entries, parsing and formatting.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include <trefoil/base/endpoint.hpp>
#include <trefoil/base/ids.hpp>

namespace trefoil {

/// State of an instance in the list.
enum class member_state : std::uint8_t { live, leaving };

/// A listed instance and the addresses of its node.
struct member {
    instance_id instance;
    service_name service;
    domain_name domain;
    region_name region;
    /// Address at which its node accepts calls from other nodes.
    endpoint peer;
    /// Address at which its node receives control messages.
    endpoint control;
    member_state state = member_state::live;

    friend bool operator==(const member&, const member&) = default;
};

/// An error in one line of the list.
struct member_error {
    /// Line number in the text, from 1.
    std::size_t line = 0;
    std::string problem;

    friend bool operator==(const member_error&, const member_error&) = default;
};

using member_errors = std::vector<member_error>;

/// Parses the list: CSV with the header `instance,service,domain,region,peer,control,state`. If any
/// line has an error, the whole list is rejected and the errors are returned.
std::variant<std::vector<member>, member_errors> parse_members(std::string_view text);

/// The header line of the list.
inline constexpr std::string_view member_header =
    "instance,service,domain,region,peer,control,state";

/// Formats an entry as one line of the list, without a line end.
std::string format_member(const member& entry);

} // namespace trefoil
