// Overload set for std::visit.
#pragma once

namespace trefoil {

/// Combines several lambdas into one visitor for std::visit, one lambda for each alternative.
template <class... Functions>
struct overloaded : Functions... {
    using Functions::operator()...;
};

template <class... Functions>
overloaded(Functions...) -> overloaded<Functions...>;

} // namespace trefoil
