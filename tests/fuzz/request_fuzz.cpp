#include <cstdint>
#include <cstdlib>
#include <string_view>
#include <variant>
#include <vector>

#include <trefoil/http1/message_parser.hpp>

#include "message_sequence.hpp"

using namespace trefoil::http1;

/// Feeds the input to a request parser, in pieces whose size is the first byte, and checks that
/// nothing follows a failure, that no field lacks a name, and that each request is read as it would
/// be on a connection of its own.
// libFuzzer requires this name. NOLINTNEXTLINE(readability-identifier-naming)
extern "C" int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
    // Larger than any input, since the kind of a failure may depend on the pieces at the limit.
    constexpr std::size_t max_head_bytes = 1U << 20U;
    if (size == 0) {
        return 0;
    }
    const std::string_view bytes(reinterpret_cast<const char*>(data) + 1, size - 1);
    request_parser parser(max_head_bytes);
    const auto events = parse_connection<request_event>(parser, bytes, 1U + data[0]);
    check_events(events);
    request_parser splitter(max_head_bytes);
    std::vector<request_event> expected;
    for (const auto message : split_messages<request_event>(splitter, bytes)) {
        parse_alone(expected, message, max_head_bytes);
    }
    if (events != expected) {
        std::abort();
    }
    return 0;
}
