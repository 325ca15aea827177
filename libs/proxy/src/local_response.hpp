// Responses that a proxy generates itself.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include <trefoil/base/random.hpp>
#include <trefoil/base/time.hpp>
#include <trefoil/http1/message.hpp>

namespace trefoil {

/// Returns a response head with the standard reason phrase of the status.
http1::response_head local_response(int status);

/// Status of a refusal for lack of room.
inline constexpr int refusal_status = 503;

/// Returns a response for a request that has not run. `retry_after` is written to the retry-after
/// field in seconds with three decimals.
http1::response_head refusal_response(duration retry_after, int status = refusal_status);

/// Returns the time after which a refused caller should retry: the expected wait, clamped to fixed
/// bounds, lengthened with lower priority and randomized. Callers of high priority return first,
/// and the retries do not arrive all at once as a second burst.
duration retry_delay(duration expected_wait, std::uint32_t priority, random_source& random);

/// Returns the time after which a caller over the limit of its workspace should retry: the time
/// until there is room, within fixed bounds, lengthened at random so that callers don't return at
/// once.
duration limit_retry_delay(duration time_to_room, random_source& random);

} // namespace trefoil
