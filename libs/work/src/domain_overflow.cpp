#include <trefoil/work/domain_overflow.hpp>

#include <algorithm>

namespace trefoil {

double domain_overflow::share(double pressure) {
    is_sending_ = pressure >= (is_sending_ ? end_pressure : begin_pressure);
    if (!is_sending_) {
        return 0;
    }
    return std::clamp((pressure - end_pressure) / (full_pressure - end_pressure), 0.0, 1.0);
}

} // namespace trefoil
