// Fingerprints that identify requests that are sent again.
#pragma once

#include <cstdint>
#include <string_view>

#include <trefoil/wire/http_message.hpp>

namespace trefoil {

/// Hash of service, kind, method, path and body. Equal requests have the same hash at every node.
using fingerprint = std::uint64_t;

fingerprint fingerprint_of(std::string_view kind, const http_request& request);

} // namespace trefoil
