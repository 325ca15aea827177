// The C headers of h2o for use with libuv.
#pragma once

#include <uv.h>

// The C headers of h2o cause warnings with the warning flags of this project.
#pragma GCC diagnostic push
#pragma GCC diagnostic ignored "-Wpedantic"
#pragma GCC diagnostic ignored "-Wunused-parameter"
#pragma GCC diagnostic ignored "-Wsign-compare"
extern "C" {
#include <h2o.h>
#include <h2o/http1.h>
#include <h2o/http2.h>
}
#pragma GCC diagnostic pop

#include <string_view>

namespace trefoil {

inline std::string_view to_view(const h2o_iovec_t& text) {
    return {text.base, text.len};
}

} // namespace trefoil
