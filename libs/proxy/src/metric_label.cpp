#include "metric_label.hpp"

namespace trefoil {

std::string metric_label(std::string_view value) {
    std::string out;
    for (const char c : value) {
        if (c == '\\' || c == '"') {
            out += '\\';
        }
        out += c == '\n' ? ' ' : c;
    }
    return out;
}

} // namespace trefoil
