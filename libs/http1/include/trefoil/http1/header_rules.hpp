// Which header fields are passed on.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include <trefoil/wire/http_message.hpp>

namespace trefoil {

/// True for fields that belong to one connection or that each sender writes itself (RFC 9110 7.6.1,
/// content-length, host, date, server).
bool is_hop_by_hop(std::string_view lower_case_name);

/// The fields without those that concern only one connection: the standard ones, the framing, and
/// those that a Connection field names (RFC 9110 7.6.1).
std::vector<http_header> end_to_end(const std::vector<http_header>& headers);

/// Sets the only field of this name.
void set_header(std::vector<http_header>& headers, std::string_view lower_case_name,
                std::string value);

/// The value of the first field of this name, or empty.
std::string_view find_header(const std::vector<http_header>& headers,
                             std::string_view lower_case_name);

/// The fields without those of this name.
std::vector<http_header> without_header(std::vector<http_header> headers,
                                        std::string_view lower_case_name);

} // namespace trefoil
