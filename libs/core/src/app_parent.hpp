// Parent call of a call that the local target makes.
#pragma once

#include <variant>

#include <trefoil/wire/call_context.hpp>

namespace trefoil {

/// The application named no parent call: the call is the entry of a new whole request.
struct no_parent {};

/// The parent call is in flight at the local target, or the target has answered it and continues
/// with work of its own.
struct known_parent {
    call_id call;
    call_context context;
    time_point deadline;
};

/// The named parent call has ended or belongs to another incarnation of the node. No caller waits
/// for its result, and the number of retry tokens that it may spend is unknown.
struct stale_parent {};

using app_parent = std::variant<no_parent, known_parent, stale_parent>;

} // namespace trefoil
