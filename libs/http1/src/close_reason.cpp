#include <trefoil/http1/tcp_stream.hpp>

namespace trefoil::http1 {

bool is_lost(close_reason reason) {
    return reason != close_reason::closed && reason != close_reason::not_connected;
}

std::string_view name_of(close_reason reason) {
    switch (reason) {
    case close_reason::not_connected:
        return "not_connected";
    case close_reason::closed:
        return "closed";
    case close_reason::reset:
        return "reset";
    case close_reason::timed_out:
        return "timed_out";
    case close_reason::silent:
        return "silent";
    case close_reason::not_taken:
        return "not_taken";
    }
    return "unknown";
}

} // namespace trefoil::http1
