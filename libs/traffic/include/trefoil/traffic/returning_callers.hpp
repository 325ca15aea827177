// Tells callers that come back from new ones.
#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>

#include <trefoil/base/time.hpp>

namespace trefoil {

/// A caller that was refused and comes back has less time left than callers of its route have at
/// first. It goes ahead of new callers of its priority: it has waited already, and a second refusal
/// would most often be its last. Answers the callers that return while a shortage lasts.
class returning_callers {
public:
    /// The place of a request in the order of shedding, from its share and the time that its caller
    /// waits.
    std::uint32_t place(time_point now, const std::string& route, std::uint32_t share,
                        duration time_left);

private:
    /// A request with less than this part of the longest time seen has come back.
    static constexpr double first_time_share = 0.97;
    /// Those that come back share the first part of all places.
    static constexpr std::uint32_t returning_divisor = 4;
    /// The longest time is forgotten after this if it is not seen again.
    static constexpr duration memory = 10s;

    struct longest_time {
        duration time{0};
        time_point seen_at;
    };

    std::unordered_map<std::string, longest_time> longest_;
};

} // namespace trefoil
