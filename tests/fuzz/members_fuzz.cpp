#include <cstdint>
#include <cstdlib>

#include <trefoil/membership/member_list.hpp>

using namespace trefoil;

/// Checks that an instance list is accepted or refused as a whole, and that an accepted list can be
/// formatted and parsed again.
// libFuzzer requires this name. NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    const auto read = parse_members({reinterpret_cast<const char*>(data), size});
    const auto* members = std::get_if<std::vector<member>>(&read);
    if (members == nullptr) {
        return 0;
    }
    std::string text = std::string(member_header) + "\n";
    for (const auto& entry : *members) {
        text += format_member(entry) + "\n";
    }
    if (parse_members(text) != read) {
        std::abort();
    }
    return 0;
}
