#include <cstdint>
#include <cstdlib>

#include <trefoil/table/table.hpp>

using namespace trefoil;

/// Checks that any input yields a table or errors, and that the same input yields the same result.
// libFuzzer requires this name. NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    const std::string_view text(reinterpret_cast<const char*>(data), size);
    const auto first = parse_table(text);
    if (first != parse_table(text)) {
        std::abort();
    }
    if (const auto* accepted = std::get_if<table>(&first)) {
        const bool has_default = accepted->find(default_kind) != nullptr;
        if (!has_default || accepted->rows().size() > max_table_rows) {
            std::abort();
        }
        accepted->match(service_name("a"), "GET", text.substr(0, 100));
    } else if (std::get<table_errors>(first).empty()) {
        std::abort();
    }
    return 0;
}
