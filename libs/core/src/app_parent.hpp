// What a call of the application belongs to.
#pragma once

#include <variant>

#include <trefoil/wire/call_context.hpp>

namespace trefoil {

/// The application named no call: this is the first leg of a request of its own.
struct no_parent {};

/// The application works on this call, or has answered it and goes on by itself.
struct known_parent {
    call_id call;
    call_context context;
    time_point deadline;
};

/// The call that the application names is over or is not of this run of the node. Nobody waits for
/// its end any more, and nothing is known of the tokens that it may spend.
struct lost_parent {};

using app_parent = std::variant<no_parent, known_parent, lost_parent>;

} // namespace trefoil
