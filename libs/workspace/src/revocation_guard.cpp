#include <trefoil/workspace/revocation_guard.hpp>

#include <algorithm>

namespace trefoil {
namespace {

/// Share of the bound that is left for the request's way to the node and for clocks that run at
/// slightly different speeds.
constexpr duration::rep margin_divisor = 10;

} // namespace

revocation_guard::revocation_guard(duration bound, duration longest_watch)
    : max_age_(std::max<duration>(bound - bound / margin_divisor - longest_watch, duration{0})) {}

} // namespace trefoil
