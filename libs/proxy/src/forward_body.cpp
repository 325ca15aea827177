#include "forward_body.hpp"

namespace trefoil {

bool forward_body(http1::served_request& from, attempt& to) {
    if (to.unsent_bytes() >= max_unsent_body_bytes) {
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
