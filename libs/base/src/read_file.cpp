#include <trefoil/base/read_file.hpp>

#include <fstream>
#include <iterator>

namespace trefoil {

std::optional<std::string> read_file(const std::string& path) {
    std::ifstream in(path, std::ios::binary);
    if (!in) {
        return std::nullopt;
    }
    return std::string(std::istreambuf_iterator<char>(in), std::istreambuf_iterator<char>());
}

} // namespace trefoil
