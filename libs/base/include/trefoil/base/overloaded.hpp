// The usual helper for std::visit with one lambda an alternative.
#pragma once

namespace trefoil {

template <class... Functions>
struct overloaded : Functions... {
    using Functions::operator()...;
};

template <class... Functions>
overloaded(Functions...) -> overloaded<Functions...>;

} // namespace trefoil
