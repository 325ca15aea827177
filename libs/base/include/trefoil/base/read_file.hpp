// Reading of whole files.
#pragma once

#include <optional>
#include <string>

namespace trefoil {

/// Returns the contents of a file; nothing if it can't be opened.
std::optional<std::string> read_file(const std::string& path);

} // namespace trefoil
