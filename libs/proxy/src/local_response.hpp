// Answers that a proxy makes itself.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include <trefoil/base/random.hpp>
#include <trefoil/base/time.hpp>
#include <trefoil/http1/message.hpp>

namespace trefoil {

/// A head with a standard reason phrase.
http1::response_head own_answer(int status);

/// A refusal of a request that has not run. Callers are asked to come back spread out and in the
/// order of their priority, not before `expected_wait` is over.
http1::response_head refusal_answer(duration retry_after);

/// When a refused caller should come back: after the expected wait, stretched by priority and at
/// random, so that the more important come first and all do not come at once. Answers the second
/// wave after a burst.
duration retry_time(duration expected_wait, std::uint32_t priority, random_source& random);

} // namespace trefoil
