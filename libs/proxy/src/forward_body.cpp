#include "forward_body.hpp"

namespace trefoil {

bool forward_body(http1::served_request& from, attempt& to, const http1::body_memory& memory) {
    const auto max_unsent = memory.is_short() ? max_body_bytes_when_short : max_unsent_body_bytes;
    if (to.unsent_bytes() >= max_unsent) {
        return false;
    }
    to.send_body(from.take_body());
    if (!from.is_body_complete()) {
        return false;
    }
    to.finish_body();
    return true;
}

} // namespace trefoil
