// Recognises a request that is sent again.
#pragma once

#include <cstdint>
#include <string_view>

#include <trefoil/wire/http_message.hpp>

namespace trefoil {

/// A hash of service, kind, method, path and body; equal at every node for equal requests.
using fingerprint = std::uint64_t;

fingerprint fingerprint_of(std::string_view kind, const http_request& request);

} // namespace trefoil
