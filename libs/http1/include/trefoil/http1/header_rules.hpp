// Rules for forwarding header fields, and access to fields by name.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include <trefoil/wire/http_message.hpp>

namespace trefoil {

/// True for hop-by-hop fields (RFC 9110 7.6.1) and for fields that every sender generates itself:
/// content-length, host, date and server.
bool is_hop_by_hop(std::string_view lower_case_name);

/// Returns the fields that a proxy forwards: all except the standard hop-by-hop fields, the framing
/// fields and the fields named in a Connection field (RFC 9110 7.6.1). Unlike is_hop_by_hop(), it
/// keeps host, date and server.
std::vector<http_header> end_to_end_headers(const std::vector<http_header>& headers);

/// Replaces all fields of this name by a single field with the given value.
void set_header(std::vector<http_header>& headers, std::string_view lower_case_name,
                std::string value);

/// Returns the value of the first field of this name, or an empty view if there is none.
std::string_view find_header(const std::vector<http_header>& headers,
                             std::string_view lower_case_name);

/// Returns a copy of the fields without those of this name.
std::vector<http_header> without_header(std::vector<http_header> headers,
                                        std::string_view lower_case_name);

} // namespace trefoil
